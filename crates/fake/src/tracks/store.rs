//! The platform's metadata store, as far as the project calls it.

use crate::test_server::TestServer;
use crate::tracks::names;
use base64::Engine;
use base64::engine::general_purpose;
use serde_json::Value;
use serde_json::json;
use std::collections;
use std::net;
use std::sync;
use std::time;
use tokio::sync::watch;
use web::Handler;

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TracksStoreMode {
    /// It answers at once.
    #[default]
    Normal,
    /// It answers 503 and does nothing.
    Busy,
    /// It closes connections unanswered and does nothing.
    Unavailable,
    /// It does what it is asked, and its answers are lost.
    DropResponses,
}

/// The store. Leases end only when a test ends them.
pub struct TracksStore {
    server: TestServer,
    shared: Shared,
    changed: watch::Sender<u64>,
}

type Shared = sync::Arc<sync::Mutex<State>>;

#[derive(Default)]
struct State {
    mode: TracksStoreMode,
    revision: u64,
    kept_from: u64,
    items: collections::BTreeMap<String, Item>,
    events: Vec<(u64, Value)>,
    leases: u64,
    ended: collections::BTreeSet<u64>,
    calls: u64,
}

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

impl TracksStore {
    /// Starts a store whose only write was long ago.
    pub fn start(address: net::SocketAddr) -> Self {
        let shared = Shared::default();
        shared.lock().expect("no panic holds it").revision = 1;
        let (changed, changes) = watch::channel(1);
        let answers = Answers {
            shared: shared.clone(),
            changed: changed.clone(),
            changes,
        };
        let server = TestServer::start(address, answers);
        Self {
            server,
            shared,
            changed,
        }
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Sets how it behaves from now on.
    pub fn set_mode(&self, mode: TracksStoreMode) {
        self.state().mode = mode;
    }

    /// Writes a key as the operator or an upstream host does.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = self.state();
        state.put(key, value.to_vec(), 0);
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut state = self.state();
        state.remove(key);
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Forgets its history, so that watches must begin anew.
    pub fn compact(&self) {
        let mut state = self.state();
        state.kept_from = state.revision + 1;
        state.revision += 1;
        let revision = state.revision;
        state.events.clear();
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Ends all leases, as an outage may.
    pub fn expire_leases(&self) {
        let mut state = self.state();
        let leased: Vec<String> = state
            .items
            .iter()
            .filter(|(_, i)| i.lease > 0)
            .map(|(k, _)| k.clone())
            .collect();
        for key in leased {
            state.remove(&key);
        }
        let all = 1..=state.leases;
        state.ended.extend(all);
    }

    /// Reads a key's value.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.state().items.get(key).map(|i| i.value.clone())
    }

    /// The revision of a key; 0 where there is none.
    pub fn revision(&self, key: &str) -> u64 {
        self.state().items.get(key).map_or(0, |i| i.revision)
    }

    /// Calls seen so far.
    pub fn call_count(&self) -> u64 {
        self.state().calls
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.shared.lock().expect("no panic holds it")
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.events.push((self.revision, row(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = json!({"key": key, "revision": self.revision, "deleted": true});
            self.events.push((self.revision, event));
        }
    }

    fn list(&self, prefix: &str) -> Value {
        let items: Vec<Value> = self
            .items
            .iter()
            .filter(|(k, _)| k.starts_with(prefix))
            .map(|(k, i)| row(k, i))
            .collect();
        json!({"items": items, "has_more": false, "current_rev": self.revision})
    }

    fn since(&self, prefix: &str, after: u64) -> Vec<Value> {
        let news = self.events.iter().filter(|(r, _)| *r > after);
        news.map(|(_, e)| e.clone())
            .filter(|e| e["key"].as_str().is_some_and(|k| k.starts_with(prefix)))
            .collect()
    }

    fn swap(&mut self, call: &Value) -> (u16, Value) {
        let rows = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        for expected in rows("expected") {
            let key = expected["key"].as_str().unwrap_or_default();
            let revision = self.items.get(key).map_or(0, |i| i.revision);
            if expected["revision"].as_u64() != Some(revision) {
                return (412, json!({"items": []}));
            }
        }
        for write in rows("writes") {
            let lease = write["lease"].as_u64().unwrap_or(0);
            if self.ended.contains(&lease) || lease > self.leases {
                return (404, Value::Null);
            }
            let value = write["value"].as_str().unwrap_or_default();
            let value = general_purpose::STANDARD.decode(value);
            let key = write["key"].as_str().unwrap_or_default();
            self.put(key, value.unwrap_or_default(), lease);
        }
        (200, json!({"revision": self.revision}))
    }
}

fn row(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": general_purpose::STANDARD.encode(&item.value),
        "revision": item.revision,
        "created_rev": item.created,
        "lease": item.lease,
    })
}

struct Answers {
    shared: Shared,
    changed: watch::Sender<u64>,
    changes: watch::Receiver<u64>,
}

impl Handler for Answers {
    async fn handle(
        &self,
        request: web::Request<web::Incoming>,
    ) -> Option<web::Response<web::Body>> {
        let (head, body) = request.into_parts();
        let body = web::read_body(body, 16 << 20).await?;
        let call = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let query = Query::read(head.uri.query().unwrap_or_default());
        let mode = {
            let mut state = self.shared.lock().expect("no panic holds it");
            state.calls += 1;
            state.mode
        };
        match mode {
            TracksStoreMode::Normal | TracksStoreMode::DropResponses => {}
            TracksStoreMode::Busy => return Some(answer(503, &Value::Null)),
            TracksStoreMode::Unavailable => return None,
        }
        let (status, value) = match head.uri.path() {
            names::WATCH_PATH => self.watch(&query).await,
            path => self.act(path, &query, &call),
        };
        match mode {
            TracksStoreMode::DropResponses => None,
            _ => Some(answer(status, &value)),
        }
    }
}

impl Answers {
    fn act(&self, path: &str, query: &Query, call: &Value) -> (u16, Value) {
        let mut state = self.shared.lock().expect("no panic holds it");
        let done = match path {
            names::GET_PATH => match state.items.get(query.text("key")) {
                Some(item) => {
                    let mut found = row(query.text("key"), item);
                    found["current_rev"] = json!(state.revision);
                    (200, found)
                }
                None => (404, Value::Null),
            },
            names::LIST_PATH => (200, state.list(query.text("prefix"))),
            names::TXN_PATH => state.swap(call),
            names::LEASE_GRANT_PATH => {
                state.leases += 1;
                (
                    200,
                    json!({"lease": state.leases, "ttl_ms": call["ttl_ms"]}),
                )
            }
            path => match path.rsplit_once('/') {
                Some((names::LEASE_RENEW_PATH, lease)) => {
                    let lease = lease.parse().unwrap_or(0);
                    let ended = state.ended.contains(&lease) || lease > state.leases;
                    (if ended { 404 } else { 200 }, json!({"ttl_ms": 3000}))
                }
                Some((names::LEASE_END_PATH, lease)) => {
                    let lease = lease.parse().unwrap_or(0);
                    state.ended.insert(lease);
                    (200, Value::Null)
                }
                _ => (400, Value::Null),
            },
        };
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
        done
    }

    async fn watch(&self, query: &Query) -> (u16, Value) {
        let mut changes = self.changes.clone();
        let wait = time::Duration::from_millis(query.number("wait_ms"));
        let end = tokio::time::Instant::now() + wait;
        loop {
            changes.mark_unchanged();
            {
                let state = self.shared.lock().expect("no panic holds it");
                if query.number("after") + 1 < state.kept_from {
                    return (410, Value::Null);
                }
                let events = state.since(query.text("prefix"), query.number("after"));
                if !events.is_empty() || tokio::time::Instant::now() >= end {
                    let found = json!({"events": events, "current_rev": state.revision});
                    return (200, found);
                }
            }
            // A change or the end of the wait: both are looked at above.
            let _ = tokio::time::timeout_at(end, changes.changed()).await;
        }
    }
}

struct Query(collections::BTreeMap<String, String>);

impl Query {
    fn read(text: &str) -> Self {
        let pairs = text.split('&').filter_map(|p| p.split_once('='));
        Self(
            pairs
                .map(|(k, v)| (k.to_owned(), v.replace("%2F", "/")))
                .collect(),
        )
    }

    fn text(&self, name: &str) -> &str {
        self.0.get(name).map_or("", String::as_str)
    }

    fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }
}

pub(crate) fn answer(status: u16, value: &Value) -> web::Response<web::Body> {
    web::Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(web::full_body(value.to_string()))
        .expect("a known head makes a response")
}
