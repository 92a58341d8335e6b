//! The platform's key-value service, as far as the project calls it.

use crate::site::Site;
use base64::Engine;
use base64::engine::general_purpose;
use serde_json::Value;
use std::collections;
use std::net;
use std::sync;
use std::time;
use tokio::sync::broadcast;
use web::Handler;

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// It answers at once.
    #[default]
    Normal,
    /// It answers after this time.
    Delay(time::Duration),
    /// It closes connections unanswered and changes nothing.
    Unavailable,
    /// It writes, then loses this many answers, and is well again after them.
    DropResponses(u32),
}

/// Calls seen so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Readings.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
}

/// The store.
pub struct Store {
    site: Site,
    shared: Shared,
}

type Shared = sync::Arc<sync::Mutex<State>>;

struct State {
    mode: StoreMode,
    revision: u64,
    values: collections::BTreeMap<String, Stored>,
    calls: CallCounts,
    changes: broadcast::Sender<Change>,
}

#[derive(Clone)]
struct Stored {
    value: String,
    revision: u64,
}

#[derive(Clone)]
struct Change {
    key: String,
    stored: Stored,
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
        let shared = sync::Arc::new(sync::Mutex::new(state));
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

    /// Changes its behaviour.
    pub fn set_mode(&self, mode: StoreMode) {
        lock(&self.shared).mode = mode;
    }

    /// Calls seen so far.
    pub fn call_counts(&self) -> CallCounts {
        lock(&self.shared).calls
    }

    /// Goes out: open watches break, and the port is closed.
    pub fn kill(&self) {
        self.site.kill();
    }

    /// Comes back with all that was written.
    pub fn restart(&self) {
        self.site.restart(Answers {
            shared: self.shared.clone(),
        });
    }

    /// Everything that is stored, to search for what must not be there.
    pub fn dump(&self) -> Vec<(String, String)> {
        lock(&self.shared)
            .values
            .iter()
            .map(|(key, stored)| (text_of(key), text_of(&stored.value)))
            .collect()
    }
}

fn text_of(base64: &str) -> String {
    let bytes = general_purpose::STANDARD.decode(base64).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

fn lock(shared: &Shared) -> sync::MutexGuard<'_, State> {
    shared.lock().expect("no panic holds it")
}

struct Answers {
    shared: Shared,
}

impl Handler for Answers {
    async fn handle(
        &self,
        request: web::Request<web::Incoming>,
    ) -> Option<web::Response<web::Body>> {
        let path = request.uri().path().to_owned();
        let body = web::read_body(request.into_body(), 8 << 20).await?;
        let body: Value = serde_json::from_slice(&body).ok()?;
        let mode = lock(&self.shared).mode;
        match mode {
            StoreMode::Unavailable => return None,
            StoreMode::Delay(wait) => tokio::time::sleep(wait).await,
            StoreMode::Normal | StoreMode::DropResponses(_) => {}
        }
        let answer = match path.as_str() {
            "/v3/kv/range" => lock(&self.shared).range(&body),
            "/v3/kv/txn" => self.write(&body)?,
            "/v3/watch" => return Some(self.watch(&body)),
            _ => return None,
        };
        Some(web::Response::new(web::full_body(answer.to_string())))
    }
}

impl Answers {
    fn write(&self, body: &Value) -> Option<Value> {
        let mut state = lock(&self.shared);
        let answer = state.txn(body);
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
        Some(answer)
    }

    fn watch(&self, body: &Value) -> web::Response<web::Body> {
        let create = &body["create_request"];
        let key = create["key"].as_str().unwrap_or_default().to_owned();
        let from = number(&create["start_revision"]);
        let (feed, answer) = web::body_channel();
        let (mut changes, first) = {
            let mut state = lock(&self.shared);
            state.calls.watches += 1;
            let first = state.values.get(&key).filter(|s| s.revision >= from);
            (state.changes.subscribe(), first.cloned())
        };
        tokio::spawn(async move {
            let opened = serde_json::json!({ "result": { "created": true } });
            let mut line = format!("{opened}\n");
            if let Some(stored) = first {
                line += &event_line(&key, &stored);
            }
            if feed.send(line.into()).await.is_err() {
                return;
            }
            loop {
                let change = tokio::select! {
                    change = changes.recv() => change,
                    () = feed.closed() => return,
                };
                let Ok(change) = change else { return };
                if change.key != key || change.stored.revision < from {
                    continue;
                }
                let line = event_line(&key, &change.stored);
                if feed.send(line.into()).await.is_err() {
                    return;
                }
            }
        });
        web::Response::new(answer)
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
            .map(|stored| kv(key, stored))
            .into_iter()
            .collect();
        serde_json::json!({ "header": self.header(), "kvs": kvs })
    }

    fn txn(&mut self, body: &Value) -> Value {
        self.calls.writes += 1;
        let compare = &body["compare"][0];
        let key = compare["key"].as_str().unwrap_or_default();
        let now = self.values.get(key).map_or(0, |s| s.revision);
        if now != number(&compare["mod_revision"]) {
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
            stored: Stored {
                value: put["value"].as_str().unwrap_or_default().to_owned(),
                revision: self.revision,
            },
        };
        self.values
            .insert(change.key.clone(), change.stored.clone());
        // Nobody watching is no failure of the write.
        let _ = self.changes.send(change);
        serde_json::json!({ "header": self.header(), "succeeded": true, "responses": [{}] })
    }

    fn header(&self) -> Value {
        serde_json::json!({ "revision": self.revision.to_string() })
    }
}

fn event_line(key: &str, stored: &Stored) -> String {
    let event = serde_json::json!({ "result": { "events": [{ "kv": kv(key, stored) }] } });
    format!("{event}\n")
}

fn kv(key: &str, stored: &Stored) -> Value {
    serde_json::json!({
        "key": key,
        "value": stored.value,
        "mod_revision": stored.revision.to_string(),
    })
}

fn number(value: &Value) -> u64 {
    value.as_str().and_then(|t| t.parse().ok()).unwrap_or(0)
}
