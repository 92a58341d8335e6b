//! Fake plain service that records the calls it runs.

use crate::test_server::TestServer;
use std::net;
use std::sync;
use std::time;
use web::Handler;

/// A call that the service ran, as it received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Value of the `idempotency-key` header, if the call had one.
    pub key: Option<String>,
    /// All headers as one text, so that a test can check that they contain no secret.
    pub headers: String,
    /// Body, with invalid UTF-8 replaced.
    pub body: String,
}

/// Fault injected into every call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceFault {
    /// The call runs and is answered at once.
    #[default]
    None,
    /// The call runs, but its connection closes without a response.
    DropResponse,
    /// The call runs, and its response is sent after this time.
    Delay(time::Duration),
}

/// HTTP server that records each call and echoes its body.
pub struct Service {
    server: TestServer,
    state: SharedState,
}

type SharedState = sync::Arc<sync::Mutex<State>>;

#[derive(Default)]
struct State {
    executions: Vec<Execution>,
    fault: ServiceFault,
}

impl Service {
    /// Starts a service without faults.
    pub fn start(address: net::SocketAddr) -> Self {
        let state = SharedState::default();
        let handler = CallHandler {
            state: state.clone(),
        };
        let server = TestServer::start(address, handler);
        Self { server, state }
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Returns the calls that the service has run, in order of arrival.
    pub fn executions(&self) -> Vec<Execution> {
        self.state
            .lock()
            .expect("the mutex is not poisoned")
            .executions
            .clone()
    }

    /// Injects a fault into all calls from now on.
    pub fn set_fault(&self, fault: ServiceFault) {
        self.state.lock().expect("the mutex is not poisoned").fault = fault;
    }

    /// Closes the port and all connections; the recorded calls are kept.
    pub fn kill(&self) {
        self.server.kill();
    }

    /// Listens again on the same address, with the recorded calls.
    pub fn restart(&self) {
        self.server.restart(CallHandler {
            state: self.state.clone(),
        });
    }
}

struct CallHandler {
    state: SharedState,
}

impl Handler for CallHandler {
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
        let (count, fault) = {
            let mut state = self.state.lock().expect("the mutex is not poisoned");
            state.executions.push(execution);
            (state.executions.len(), state.fault)
        };
        match fault {
            ServiceFault::None => {}
            ServiceFault::DropResponse => return None,
            ServiceFault::Delay(delay) => tokio::time::sleep(delay).await,
        }
        let text = serde_json::json!({ "ran": count, "path": head.uri.path(), "echo": body });
        let created = head.method == web::Method::POST;
        let status = if created { 201 } else { 200 };
        let response = web::Response::builder()
            .status(status)
            .header("content-type", "application/json")
            .header("x-service", "fake")
            .body(web::full_body(text.to_string()))
            .expect("the status and headers are valid");
        Some(response)
    }
}
