//! A plain service that counts what it runs.

use crate::site::Site;
use std::net;
use std::sync;
use std::time;
use web::Handler;

/// One call as the service saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The idempotency key, if the caller gave one.
    pub key: Option<String>,
    /// All headers as text, to search for what must not be there.
    pub headers: String,
    /// The body.
    pub body: String,
}

/// What goes wrong with the next calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceFault {
    /// Nothing.
    #[default]
    None,
    /// The call runs, but its answer is lost.
    DropResponse,
    /// The call takes this long.
    Delay(time::Duration),
}

/// The service.
pub struct Service {
    site: Site,
    shared: Shared,
}

type Shared = sync::Arc<sync::Mutex<State>>;

#[derive(Default)]
struct State {
    executions: Vec<Execution>,
    trouble: ServiceFault,
}

impl Service {
    /// Starts a service that runs everything at once.
    pub fn start(address: net::SocketAddr) -> Self {
        let shared = Shared::default();
        let answers = Answers {
            shared: shared.clone(),
        };
        let site = Site::start(address, answers);
        Self { site, shared }
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.site.address
    }

    /// What it has run, in order.
    pub fn executions(&self) -> Vec<Execution> {
        self.shared
            .lock()
            .expect("no panic holds it")
            .executions
            .clone()
    }

    /// Sets what goes wrong from now on.
    pub fn set_fault(&self, trouble: ServiceFault) {
        self.shared.lock().expect("no panic holds it").trouble = trouble;
    }

    /// Dies; what it ran stays on record.
    pub fn kill(&self) {
        self.site.kill();
    }

    /// Comes back.
    pub fn restart(&self) {
        self.site.restart(Answers {
            shared: self.shared.clone(),
        });
    }
}

struct Answers {
    shared: Shared,
}

impl Handler for Answers {
    async fn handle(
        &self,
        request: web::Request<web::Incoming>,
    ) -> Option<web::Response<web::Body>> {
        let (head, body) = request.into_parts();
        let body = web::read_body(body, 16 << 20).await?;
        let body = String::from_utf8_lossy(&body).into_owned();
        let key = head.headers.get("idempotency-key");
        let execution = Execution {
            method: head.method.to_string(),
            path: head.uri.to_string(),
            key: key.and_then(|k| k.to_str().ok()).map(str::to_owned),
            headers: format!("{:?}", head.headers),
            body: body.clone(),
        };
        let (count, trouble) = {
            let mut state = self.shared.lock().expect("no panic holds it");
            state.executions.push(execution);
            (state.executions.len(), state.trouble)
        };
        match trouble {
            ServiceFault::None => {}
            ServiceFault::DropResponse => return None,
            ServiceFault::Delay(wait) => tokio::time::sleep(wait).await,
        }
        let text = serde_json::json!({ "ran": count, "path": head.uri.path(), "echo": body });
        let created = head.method == web::Method::POST;
        let status = if created { 201 } else { 200 };
        let response = web::Response::builder()
            .status(status)
            .header("content-type", "application/json")
            .header("x-service", "fake")
            .body(web::full_body(text.to_string()))
            .expect("a known head makes a response");
        Some(response)
    }
}
