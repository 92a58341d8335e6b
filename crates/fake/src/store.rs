//! Fake of the platform's key-value store, limited to the calls that the system makes.

use crate::test_server::TestServer;
use base64::Engine;
use base64::engine::general_purpose;
use serde_json::Value;
use std::collections;
use std::net;
use std::sync;
use std::time;
use tokio::sync::broadcast;
use web::Handler;

/// How the store responds to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// It responds at once.
    #[default]
    Normal,
    /// It executes and answers each call after this time.
    Delay(time::Duration),
    /// It closes connections without a response and executes nothing.
    Unavailable,
    /// It executes writes and drops the responses to this many of them, then returns to
    /// normal.
    DropResponses(u32),
}

/// Numbers of calls since the store was created; restarts do not reset them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Range reads.
    pub reads: u64,
    /// Transactions, also those whose comparison failed.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
}

/// In-memory store that keeps only the latest value of each key.
pub struct Store {
    server: TestServer,
    state: SharedState,
}

type SharedState = sync::Arc<sync::Mutex<State>>;

struct State {
    mode: StoreMode,
    revision: u64,
    /// Values by key; keys and values are in base64, as on the wire.
    values: collections::BTreeMap<String, StoredValue>,
    calls: CallCounts,
    changes: broadcast::Sender<Change>,
}

#[derive(Clone)]
struct StoredValue {
    value: String,
    revision: u64,
}

#[derive(Clone)]
struct Change {
    key: String,
    stored: StoredValue,
}

impl Store {
    /// Starts an empty store.
    pub fn start(address: net::SocketAddr) -> Self {
        let (changes, _) = broadcast::channel(1_024);
        let state = State {
            mode: StoreMode::Normal,
            revision: 1,
            values: collections::BTreeMap::new(),
            calls: CallCounts::default(),
            changes,
        };
        let state = sync::Arc::new(sync::Mutex::new(state));
        let handler = StoreHandler {
            state: state.clone(),
        };
        let server = TestServer::start(address, handler);
        Self { server, state }
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Sets how the store responds from now on.
    pub fn set_mode(&self, mode: StoreMode) {
        lock(&self.state).mode = mode;
    }

    /// Returns the numbers of calls so far.
    pub fn call_counts(&self) -> CallCounts {
        lock(&self.state).calls
    }

    /// Closes the port and all connections, also those of open watches.
    pub fn kill(&self) {
        self.server.kill();
    }

    /// Listens again on the same address, with all values written before.
    pub fn restart(&self) {
        self.server.restart(StoreHandler {
            state: self.state.clone(),
        });
    }

    /// Returns all keys and values as text, so that a test can check that they contain
    /// no secret.
    pub fn dump(&self) -> Vec<(String, String)> {
        lock(&self.state)
            .values
            .iter()
            .map(|(key, stored)| (decode_text(key), decode_text(&stored.value)))
            .collect()
    }
}

fn decode_text(base64: &str) -> String {
    let bytes = general_purpose::STANDARD.decode(base64).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

fn lock(state: &SharedState) -> sync::MutexGuard<'_, State> {
    state.lock().expect("the mutex is not poisoned")
}

struct StoreHandler {
    state: SharedState,
}

impl Handler for StoreHandler {
    async fn handle(
        &self,
        request: web::Request<web::Incoming>,
    ) -> Option<web::Response<web::Body>> {
        let path = request.uri().path().to_owned();
        let body = web::read_body(request.into_body(), 8 << 20).await?;
        let body: Value = serde_json::from_slice(&body).ok()?;
        let mode = lock(&self.state).mode;
        match mode {
            StoreMode::Unavailable => return None,
            StoreMode::Delay(delay) => tokio::time::sleep(delay).await,
            StoreMode::Normal | StoreMode::DropResponses(_) => {}
        }
        let response = match path.as_str() {
            "/v3/kv/range" => lock(&self.state).range(&body),
            "/v3/kv/txn" => self.write(&body)?,
            "/v3/watch" => return Some(self.watch(&body)),
            _ => return None,
        };
        Some(web::Response::new(web::full_body(response.to_string())))
    }
}

impl StoreHandler {
    /// Executes a transaction; none means that its response is dropped.
    fn write(&self, body: &Value) -> Option<Value> {
        let mut state = lock(&self.state);
        let response = state.txn(body);
        match state.mode {
            StoreMode::DropResponses(0) => state.mode = StoreMode::Normal,
            StoreMode::DropResponses(left) => {
                state.mode = match left {
                    1 => StoreMode::Normal,
                    _ => StoreMode::DropResponses(left - 1),
                };
                return None;
            }
            StoreMode::Normal | StoreMode::Delay(_) | StoreMode::Unavailable => {}
        }
        Some(response)
    }

    /// Streams the changes of one key from a revision on, one JSON line per change. If
    /// the current value has that revision or a later one, it is sent first.
    fn watch(&self, body: &Value) -> web::Response<web::Body> {
        let create = &body["create_request"];
        let key = create["key"].as_str().unwrap_or_default().to_owned();
        let from = parse_number(&create["start_revision"]);
        let (sender, body) = web::body_channel();
        let (mut changes, current) = {
            let mut state = lock(&self.state);
            state.calls.watches += 1;
            let current = state.values.get(&key).filter(|s| s.revision >= from);
            (state.changes.subscribe(), current.cloned())
        };
        tokio::spawn(async move {
            let created = serde_json::json!({ "result": { "created": true } });
            let mut line = format!("{created}\n");
            if let Some(stored) = current {
                line += &event_line(&key, &stored);
            }
            if sender.send(line.into()).await.is_err() {
                return;
            }
            loop {
                let change = tokio::select! {
                    change = changes.recv() => change,
                    () = sender.closed() => return,
                };
                let Ok(change) = change else { return };
                if change.key != key || change.stored.revision < from {
                    continue;
                }
                let line = event_line(&key, &change.stored);
                if sender.send(line.into()).await.is_err() {
                    return;
                }
            }
        });
        web::Response::new(body)
    }
}

impl State {
    fn range(&mut self, body: &Value) -> Value {
        self.calls.reads += 1;
        self.read(body)
    }

    fn read(&self, body: &Value) -> Value {
        let key = body["key"].as_str().unwrap_or_default();
        let kvs: Vec<Value> = self
            .values
            .get(key)
            .map(|stored| key_value(key, stored))
            .into_iter()
            .collect();
        serde_json::json!({ "header": self.header(), "kvs": kvs })
    }

    /// Executes a transaction with one comparison: it writes one key if the revision of
    /// the compared key is as expected, and otherwise reads one.
    fn txn(&mut self, body: &Value) -> Value {
        self.calls.writes += 1;
        let compare = &body["compare"][0];
        let key = compare["key"].as_str().unwrap_or_default();
        let current = self.values.get(key).map_or(0, |s| s.revision);
        if current != parse_number(&compare["mod_revision"]) {
            let range = self.read(&body["failure"][0]["request_range"]);
            return serde_json::json!({
                "header": self.header(),
                "responses": [{ "response_range": range }],
            });
        }
        let put = &body["success"][0]["request_put"];
        self.revision += 1;
        let change = Change {
            key: put["key"].as_str().unwrap_or_default().to_owned(),
            stored: StoredValue {
                value: put["value"].as_str().unwrap_or_default().to_owned(),
                revision: self.revision,
            },
        };
        self.values
            .insert(change.key.clone(), change.stored.clone());
        // Sending fails only if no watch is open, which does not affect the write.
        let _ = self.changes.send(change);
        serde_json::json!({ "header": self.header(), "succeeded": true, "responses": [{}] })
    }

    fn header(&self) -> Value {
        serde_json::json!({ "revision": self.revision.to_string() })
    }
}

fn event_line(key: &str, stored: &StoredValue) -> String {
    let event = serde_json::json!({ "result": { "events": [{ "kv": key_value(key, stored) }] } });
    format!("{event}\n")
}

fn key_value(key: &str, stored: &StoredValue) -> Value {
    serde_json::json!({
        "key": key,
        "value": stored.value,
        "mod_revision": stored.revision.to_string(),
    })
}

/// Parses a number that is written as a JSON string; 0 if it is missing or invalid.
fn parse_number(value: &Value) -> u64 {
    value.as_str().and_then(|t| t.parse().ok()).unwrap_or(0)
}
