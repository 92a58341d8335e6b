//! An engine or plain service of the platform.

use crate::test_server::TestServer;
use crate::tracks::names;
use crate::tracks::store::answer;
use serde_json::Value;
use serde_json::json;
use std::collections;
use std::net;
use std::sync;
use std::time;
use web::Handler;

/// Time between two looks at whether a prompt may be read.
const LOOK_GAP: time::Duration = time::Duration::from_millis(5);

/// How long a KV cache is kept for its taker.
const HANDLE_LIFE: time::Duration = time::Duration::from_millis(2_000);

/// How a worker behaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerBehaviour {
    /// How long it reads a prompt.
    pub prefill_time: time::Duration,
    /// Whether prompts stay unread until this is taken back.
    pub prefill_paused: bool,
    /// The pause between two events of a stream.
    pub event_interval: time::Duration,
    /// Events of each stream.
    pub event_count: u64,
    /// After so many events it breaks its streams off.
    pub abort_after: Option<u64>,
    /// Whether it has no room for reservations.
    pub refuse_holds: bool,
    /// The status of plain calls.
    pub status: u16,
    /// It runs plain calls and loses their answers.
    pub drop_responses: bool,
    /// It refuses plain calls unrun.
    pub shed_calls: bool,
    /// A body that ends its process when it runs.
    pub crash_body: Option<&'static str>,
}

impl Default for WorkerBehaviour {
    fn default() -> Self {
        Self {
            prefill_time: time::Duration::from_millis(5),
            prefill_paused: false,
            event_interval: time::Duration::from_millis(2),
            event_count: 5,
            abort_after: None,
            refuse_holds: false,
            status: 200,
            drop_responses: false,
            shed_calls: false,
            crash_body: None,
        }
    }
}

/// A call that has reached a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedCall {
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The headers, by name in lowercase.
    pub headers: collections::BTreeMap<String, String>,
    /// The body.
    pub body: String,
}

impl ReceivedCall {
    /// Reads a header; empty where there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Tells whether it is a request to be run: neither a prompt nor a call of the
    /// system's own.
    pub fn is_client_request(&self) -> bool {
        let prompt = self.header(names::SERVING_STAGE) == "prefill";
        !prompt && !self.path.starts_with(names::INTERNAL_PREFIX)
    }
}

/// The worker.
pub struct Worker {
    /// Its id in the platform's list.
    pub id: String,
    server: TestServer,
    shared: Shared,
}

type Shared = sync::Arc<sync::Mutex<State>>;

struct State {
    id: String,
    stage: Option<&'static str>,
    manner: WorkerBehaviour,
    arrivals: Vec<ReceivedCall>,
    count: u64,
    handles: collections::BTreeMap<String, time::Instant>,
    holds: collections::BTreeMap<String, time::Instant>,
    orders: u64,
    crashed: bool,
    active: usize,
    shown: Option<net::SocketAddr>,
}

impl Worker {
    /// Starts a worker; one without a stage is a plain service.
    pub fn start(address: net::SocketAddr, id: &str, stage: Option<&'static str>) -> Self {
        let state = State {
            id: id.to_owned(),
            stage,
            manner: WorkerBehaviour::default(),
            arrivals: Vec::new(),
            count: 0,
            handles: collections::BTreeMap::new(),
            holds: collections::BTreeMap::new(),
            orders: 0,
            crashed: false,
            active: 0,
            shown: None,
        };
        let shared = sync::Arc::new(sync::Mutex::new(state));
        let answers = Answers {
            shared: shared.clone(),
        };
        let server = TestServer::start(address, answers);
        Self {
            id: id.to_owned(),
            server,
            shared,
        }
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Changes how it behaves.
    pub fn set_behaviour(&self, change: impl FnOnce(&mut WorkerBehaviour)) {
        change(&mut self.state().manner);
    }

    /// All calls that have reached it, in order.
    pub fn received(&self) -> Vec<ReceivedCall> {
        self.state().arrivals.clone()
    }

    /// The calls whose path begins so.
    pub fn received_under(&self, path: &str) -> Vec<ReceivedCall> {
        let mut all = self.received();
        all.retain(|a| a.path.starts_with(path));
        all
    }

    /// KV caches that nobody has taken or freed.
    pub fn handle_count(&self) -> usize {
        unexpired(&self.state().handles)
    }

    /// Reservations that nobody has used or released.
    pub fn hold_count(&self) -> usize {
        unexpired(&self.state().holds)
    }

    /// Streams that it is at work on.
    pub fn active_streams(&self) -> usize {
        self.state().active
    }

    /// Names another address in its entries, as of a proxy before it.
    pub fn advertise(&self, address: net::SocketAddr) {
        self.state().shown = Some(address);
    }

    /// Dies; connections to it break.
    pub fn kill(&self) {
        self.server.kill();
    }

    /// Tells whether a request has ended its process.
    pub fn crashed(&self) -> bool {
        self.state().crashed
    }

    /// Its entry in the platform's list.
    pub fn member_record(&self, service: &str, state: &str) -> String {
        let state_now = self.state();
        let (stage, shown) = (state_now.stage, state_now.shown);
        drop(state_now);
        json!({
            "service": service, "address": shown.unwrap_or(self.address()), "zone": "ruahine", "version": "v1",
            "slots": 8, "state": state, "cold_left_ms": 0, "stage": stage, "seq": 4,
            "born": 1_767_816_250_201_u64,
        })
        .to_string()
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.shared.lock().expect("no panic holds it")
    }
}

/// Counts one stream for as long as it is worked on.
struct Active {
    shared: Shared,
}

impl Active {
    fn begin(shared: &Shared) -> Self {
        shared.lock().expect("no panic holds it").active += 1;
        Self {
            shared: shared.clone(),
        }
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        if let Ok(mut state) = self.shared.lock() {
            state.active -= 1;
        }
    }
}

fn unexpired(kept: &collections::BTreeMap<String, time::Instant>) -> usize {
    let now = time::Instant::now();
    kept.values().filter(|until| **until > now).count()
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
        let headers = head.headers.iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        });
        let arrival = ReceivedCall {
            method: head.method.to_string(),
            path: head.uri.to_string(),
            headers: headers.collect(),
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        let own = {
            let mut state = self.state();
            let deadly = state.manner.crash_body == Some(arrival.body.as_str());
            state.crashed |= deadly && arrival.header(names::EXPECT_INSTANCE) == state.id;
            // Until its process is back, whatever reaches it is cut off.
            if state.crashed {
                return None;
            }
            state.arrivals.push(arrival.clone());
            state.own(&arrival)
        };
        match own {
            Some((status, value)) => Some(answer(status, &value)),
            None => self.run(&arrival).await,
        }
    }
}

impl Answers {
    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.shared.lock().expect("no panic holds it")
    }

    async fn run(&self, arrival: &ReceivedCall) -> Option<web::Response<web::Body>> {
        let (stage, manner) = {
            let state = self.state();
            if arrival.header(names::EXPECT_INSTANCE) != state.id {
                return Some(answer(421, &Value::Null));
            }
            (state.stage, state.manner.clone())
        };
        let id = arrival.header(names::REQUEST_ID).to_owned();
        let head = web::Response::builder()
            .header(names::REQUEST_ID, &id)
            .header(names::RESPONSE_SEAL, format!("seal-{id}"));
        if stage.is_none() {
            let head = match (manner.drop_responses, manner.shed_calls) {
                (true, _) => return None,
                (_, true) => head.status(503).header(names::NOT_EXECUTED, "1"),
                (false, false) => head.status(manner.status),
            };
            let body = web::full_body(format!("{} {}", arrival.method, arrival.body));
            return head.body(body).ok();
        }
        if arrival.header(names::SERVING_STAGE) == "prefill" {
            tokio::time::sleep(manner.prefill_time).await;
            while self.state().manner.prefill_paused {
                tokio::time::sleep(LOOK_GAP).await;
            }
            let handle = self.state().keep();
            let value = json!({"handle": handle, "tokens": 10, "version": 1});
            return Some(answer(200, &value));
        }
        self.state().take(arrival);
        let after = arrival.header("last-event-id").parse().unwrap_or(0);
        let (feed, body) = web::body_channel();
        let active = Active::begin(&self.shared);
        tokio::spawn(async move {
            let _active = active;
            for event in after + 1..=manner.event_count {
                if manner.abort_after.is_some_and(|b| event > b) {
                    return;
                }
                let text = format!("id: {event}\ndata: piece {event}\n\n");
                if feed.send(text.into()).await.is_err() {
                    return;
                }
                tokio::time::sleep(manner.event_interval).await;
            }
        });
        let head = head.header("content-type", "text/event-stream");
        // A length that the stream never reaches makes its end a break.
        let head = match manner.abort_after {
            Some(_) => head.header("content-length", "1000000"),
            None => head,
        };
        head.body(body).ok()
    }
}

impl State {
    fn keep(&mut self) -> String {
        self.count += 1;
        let handle = format!("h{}", self.count);
        let until = time::Instant::now() + HANDLE_LIFE;
        self.handles.insert(handle.clone(), until);
        handle
    }

    /// Uses up what a request brings along.
    fn take(&mut self, arrival: &ReceivedCall) {
        self.holds.remove(arrival.header(names::KV_HOLD));
    }

    /// Answers the calls that are the system's own.
    fn own(&mut self, arrival: &ReceivedCall) -> Option<(u16, Value)> {
        let path = arrival.path.as_str();
        if let Some(handle) = path.strip_prefix(names::HANDLE_PATH) {
            self.handles.remove(handle);
            return Some((200, Value::Null));
        }
        if let Some(hold) = path.strip_prefix(names::RELEASE_PATH) {
            self.holds.remove(hold);
            return Some((200, Value::Null));
        }
        match path {
            names::RESERVE_PATH if self.manner.refuse_holds => Some((503, Value::Null)),
            names::RESERVE_PATH => {
                self.count += 1;
                let hold = format!("d{}", self.count);
                let call: Value = serde_json::from_str(&arrival.body).unwrap_or(Value::Null);
                let life = call["ttl_ms"].as_u64().unwrap_or(0);
                let until = time::Instant::now() + time::Duration::from_millis(life);
                self.holds.insert(hold.clone(), until);
                Some((200, json!({"hold": hold})))
            }
            names::REPORT_PATH => Some((
                200,
                json!({"stage": self.stage, "busy": false, "seq": self.orders, "kv_used": 0}),
            )),
            names::ORDER_PATH => {
                self.orders += 1;
                Some((202, Value::Null))
            }
            _ => None,
        }
    }
}
