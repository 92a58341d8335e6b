//! Fake of the platform's metadata store, limited to the calls that the system makes.

use crate::ports::free_address;
use crate::test_server::TestServer;
use crate::tracks::names;
use crate::tracks::store_state::Entry;
use crate::tracks::store_state::State;
use crate::tracks::store_state::entry_json;
use serde_json::Value;
use serde_json::json;
use std::collections;
use std::net;
use std::sync;
use std::time;
use tokio::sync::watch;
use web::Handler;

/// Prefix of the keys that only entries write.
const SYSTEM_PREFIX: &str = "hornbeampitch/";

/// How the store responds to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TracksStoreMode {
    /// It responds at once.
    #[default]
    Normal,
    /// It responds with status 503 and executes nothing.
    Busy,
    /// It closes connections without a response and executes nothing.
    Unavailable,
    /// It executes calls and closes their connections without a response.
    DropResponses,
}

/// In-memory metadata store. Leases do not expire by time, only when a test or a call
/// ends them.
pub struct TracksStore {
    server: TestServer,
    mode: SharedMode,
    shared: SharedState,
    changed: watch::Sender<u64>,
}

type SharedState = sync::Arc<sync::Mutex<State>>;
type SharedMode = sync::Arc<sync::Mutex<TracksStoreMode>>;

/// A copy of a store's contents, from which it can come back.
#[derive(Clone)]
pub struct TracksStoreCopy(State);

impl TracksStoreCopy {
    /// Writes a key as it will have been written before the store answers again.
    pub fn put(&mut self, key: &str, value: &[u8]) {
        self.0.put(key, value.to_vec(), 0);
    }
}

impl TracksStore {
    /// Starts an empty store at revision 1.
    pub fn start(address: net::SocketAddr) -> Self {
        let shared = SharedState::default();
        shared.lock().expect("the mutex is not poisoned").revision = 1;
        Self::serve(address, shared, watch::channel(1).0)
    }

    /// Starts a second address of this store, with the same contents and a mode of its
    /// own, so that the store can be away for some entries only.
    pub fn branch(&self) -> Self {
        let (shared, changed) = (self.shared.clone(), self.changed.clone());
        Self::serve(free_address(), shared, changed)
    }

    fn serve(address: net::SocketAddr, shared: SharedState, changed: watch::Sender<u64>) -> Self {
        let mode = SharedMode::default();
        let handler = StoreHandler {
            mode: mode.clone(),
            shared: shared.clone(),
            changes: changed.subscribe(),
            changed: changed.clone(),
        };
        let server = TestServer::start(address, handler);
        Self {
            server,
            mode,
            shared,
            changed,
        }
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Sets how the store responds from now on.
    pub fn set_mode(&self, mode: TracksStoreMode) {
        *self.mode.lock().expect("the mutex is not poisoned") = mode;
    }

    /// Writes a key without a lease, as an operator or an upstream host would.
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

    /// Discards the history of changes, so that watches from an earlier revision fail
    /// and have to list the keys again.
    pub fn compact(&self) {
        let mut state = self.state();
        state.first_revision = state.revision + 1;
        state.revision += 1;
        let revision = state.revision;
        state.events.clear();
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Ends all leases and removes their keys, as an outage of the platform may. It
    /// does not wake a waiting watch, which sees the removals after its timeout.
    pub fn expire_leases(&self) {
        let mut state = self.state();
        let leased_keys: Vec<String> = state
            .entries
            .iter()
            .filter(|(_, e)| e.lease > 0)
            .map(|(k, _)| k.clone())
            .collect();
        for key in leased_keys {
            state.remove(&key);
        }
        let granted = 1..=state.lease_count;
        state.ended_leases.extend(granted);
    }

    /// Copies the contents as they are now.
    pub fn copy(&self) -> TracksStoreCopy {
        TracksStoreCopy(self.state().clone())
    }

    /// Comes back from a copy: what has happened since is gone, and its revisions and lease
    /// ids are given out again. Waiting watches go on to wait.
    pub fn restore(&self, copy: &TracksStoreCopy) {
        let mut state = self.state();
        let (era, calls) = (state.era + 1, state.calls);
        *state = copy.0.clone();
        (state.era, state.calls) = (era, calls);
    }

    /// Comes back from a copy, and has what the operator and the upstream hosts have written
    /// since written again, as they do on the platform.
    pub fn restore_and_rewrite(&self, copy: &TracksStoreCopy) {
        let others = |entries: &collections::BTreeMap<String, Entry>| {
            let mut others = entries.clone();
            others.retain(|key, _| !key.starts_with(SYSTEM_PREFIX));
            others
        };
        let before = others(&self.state().entries);
        self.restore(copy);
        let copied = others(&self.state().entries);
        for key in copied.keys().filter(|key| !before.contains_key(*key)) {
            self.remove(key);
        }
        for (key, entry) in &before {
            if copied.get(key).is_none_or(|c| c.value != entry.value) {
                self.put(key, &entry.value);
            }
        }
    }

    /// Writes a key with a new lease, as another user of the store would.
    pub fn put_leased(&self, key: &str, value: &[u8]) {
        let mut state = self.state();
        state.lease_count += 1;
        let lease = state.lease_count;
        state.put(key, value.to_vec(), lease);
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.state().entries.get(key).map(|e| e.value.clone())
    }

    /// Returns the revision of a key; 0 if it does not exist.
    pub fn revision(&self, key: &str) -> u64 {
        self.state().entries.get(key).map_or(0, |e| e.revision)
    }

    /// Returns the number of calls so far, also of those that failed.
    pub fn call_count(&self) -> u64 {
        self.state().calls
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.shared.lock().expect("the mutex is not poisoned")
    }
}

struct StoreHandler {
    mode: SharedMode,
    shared: SharedState,
    changed: watch::Sender<u64>,
    changes: watch::Receiver<u64>,
}

impl Handler for StoreHandler {
    async fn handle(
        &self,
        request: web::Request<web::Incoming>,
    ) -> Option<web::Response<web::Body>> {
        let (head, body) = request.into_parts();
        let body = web::read_body(body, 16 << 20).await?;
        let call = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let query = Query::parse(head.uri.query().unwrap_or_default());
        let respond = |status: u16, value: &Value| {
            let era = self.shared.lock().expect("the mutex is not poisoned").era;
            let mut response = json_response(status, value);
            let headers = response.headers_mut();
            headers.insert(names::STORE_ERA, era.into());
            Some(response)
        };
        self.shared.lock().expect("the mutex is not poisoned").calls += 1;
        let mode = *self.mode.lock().expect("the mutex is not poisoned");
        match mode {
            TracksStoreMode::Normal | TracksStoreMode::DropResponses => {}
            TracksStoreMode::Busy => return respond(503, &Value::Null),
            TracksStoreMode::Unavailable => return None,
        }
        let (status, value) = match head.uri.path() {
            names::WATCH_PATH => self.watch(&query).await,
            path => self.handle_call(path, &query, &call),
        };
        // A watch may wait until the store is away.
        let is_away =
            *self.mode.lock().expect("the mutex is not poisoned") == TracksStoreMode::Unavailable;
        match mode {
            TracksStoreMode::DropResponses => None,
            _ if is_away => None,
            _ => respond(status, &value),
        }
    }
}

impl StoreHandler {
    /// Executes any call but a watch. Returns the HTTP status and the body.
    fn handle_call(&self, path: &str, query: &Query, call: &Value) -> (u16, Value) {
        let mut state = self.shared.lock().expect("the mutex is not poisoned");
        let response = match path {
            names::GET_PATH => match state.entries.get(query.text("key")) {
                Some(entry) => {
                    let mut body = entry_json(query.text("key"), entry);
                    body["current_rev"] = json!(state.revision);
                    (200, body)
                }
                None => (404, Value::Null),
            },
            names::LIST_PATH => (200, state.list(query.text("prefix"))),
            names::TXN_PATH => state.txn(call),
            names::LEASE_GRANT_PATH => {
                state.lease_count += 1;
                (
                    200,
                    json!({"lease": state.lease_count, "ttl_ms": call["ttl_ms"]}),
                )
            }
            path => match path.rsplit_once('/') {
                Some((names::LEASE_RENEW_PATH, lease)) => {
                    let lease = lease.parse().unwrap_or(0);
                    let ended = state.ended_leases.contains(&lease) || lease > state.lease_count;
                    (if ended { 404 } else { 200 }, json!({"ttl_ms": 3000}))
                }
                Some((names::LEASE_END_PATH, lease)) => {
                    let lease = lease.parse().unwrap_or(0);
                    state.end_lease(lease);
                    (200, Value::Null)
                }
                _ => (400, Value::Null),
            },
        };
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
        response
    }

    /// Waits for changes after a revision, at most for `wait_ms`. Returns the HTTP status
    /// and the body, which has no changes after a timeout. The status is 410 if the changes
    /// are no longer kept.
    async fn watch(&self, query: &Query) -> (u16, Value) {
        let mut changes = self.changes.clone();
        let wait = time::Duration::from_millis(query.number("wait_ms"));
        let end = tokio::time::Instant::now() + wait;
        loop {
            changes.mark_unchanged();
            {
                let state = self.shared.lock().expect("the mutex is not poisoned");
                let after = query.number("after");
                if after + 1 < state.first_revision || after > state.revision {
                    return (410, Value::Null);
                }
                let events = state.events_after(query.text("prefix"), after);
                if !events.is_empty() || tokio::time::Instant::now() >= end {
                    let body = json!({"events": events, "current_rev": state.revision});
                    return (200, body);
                }
            }
            // Whether a change or the timeout ended the wait is checked at the loop's start.
            let _ = tokio::time::timeout_at(end, changes.changed()).await;
        }
    }
}

/// Parameters of a URL's query.
struct Query(collections::BTreeMap<String, String>);

impl Query {
    /// Parses a query. Of the percent encodings, only that of the slash is decoded.
    fn parse(text: &str) -> Self {
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

/// Builds a JSON response.
pub(crate) fn json_response(status: u16, value: &Value) -> web::Response<web::Body> {
    web::Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(web::full_body(value.to_string()))
        .expect("the status and headers are valid")
}
