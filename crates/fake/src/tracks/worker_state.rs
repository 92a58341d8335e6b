//! State of a fake worker: what it holds for callers and how it answers internal calls.

use crate::test_server::ServerKiller;
use crate::tracks::names;
use crate::tracks::received_call::ReceivedCall;
use crate::tracks::worker_behaviour::WorkerBehaviour;
use serde_json::Value;
use serde_json::json;
use std::collections;
use std::net;
use std::sync;
use std::time;

/// Time for which a KV cache is kept if it is not freed before.
const HANDLE_TTL: time::Duration = time::Duration::from_millis(2_000);

pub(super) type SharedState = sync::Arc<sync::Mutex<State>>;

pub(super) struct State {
    pub(super) id: String,
    pub(super) stage: Option<&'static str>,
    pub(super) behaviour: WorkerBehaviour,
    pub(super) calls: Vec<ReceivedCall>,
    /// Number of the last KV handle or reservation.
    pub(super) last_id: u64,
    /// Times at which KV caches expire, by handle.
    pub(super) handle_expiries: collections::BTreeMap<String, time::Instant>,
    /// Times at which reservations expire, by id.
    pub(super) reservation_expiries: collections::BTreeMap<String, time::Instant>,
    pub(super) order_count: u64,
    pub(super) crashed: bool,
    /// Closes the worker's port and connections; set once its server runs.
    pub(super) killer: Option<ServerKiller>,
    /// Number of streams in progress.
    pub(super) active_count: usize,
    /// Number of chunks of noise that were sent.
    pub(super) noise_count: usize,
    pub(super) advertised_address: Option<net::SocketAddr>,
}

impl State {
    /// Creates the state of a worker that has received nothing yet.
    pub(super) fn new(id: &str, stage: Option<&'static str>) -> Self {
        Self {
            id: id.to_owned(),
            stage,
            behaviour: WorkerBehaviour::default(),
            calls: Vec::new(),
            last_id: 0,
            handle_expiries: collections::BTreeMap::new(),
            reservation_expiries: collections::BTreeMap::new(),
            order_count: 0,
            crashed: false,
            killer: None,
            active_count: 0,
            noise_count: 0,
            advertised_address: None,
        }
    }

    /// Stores a KV cache and returns its handle.
    pub(super) fn store_kv(&mut self) -> String {
        self.last_id += 1;
        let handle = format!("h{}", self.last_id);
        let expires_at = time::Instant::now() + HANDLE_TTL;
        self.handle_expiries.insert(handle.clone(), expires_at);
        handle
    }

    /// Removes the reservation that a request uses.
    pub(super) fn use_reservation(&mut self, call: &ReceivedCall) {
        self.reservation_expiries
            .remove(call.header(names::KV_HOLD));
    }

    /// Handles an internal call. Returns its status and body, or none for a caller's
    /// request.
    pub(super) fn handle_internal(&mut self, call: &ReceivedCall) -> Option<(u16, Value)> {
        let path = call.path.as_str();
        if let Some(handle) = path.strip_prefix(names::HANDLE_PATH) {
            self.handle_expiries.remove(handle);
            return Some((200, Value::Null));
        }
        if let Some(reservation) = path.strip_prefix(names::RELEASE_PATH) {
            self.reservation_expiries.remove(reservation);
            return Some((200, Value::Null));
        }
        match path {
            names::RESERVE_PATH if self.behaviour.refuse_reservations => Some((503, Value::Null)),
            names::RESERVE_PATH => {
                self.last_id += 1;
                let reservation = format!("d{}", self.last_id);
                let body: Value = serde_json::from_str(&call.body).unwrap_or(Value::Null);
                let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(0);
                let expires_at = time::Instant::now() + time::Duration::from_millis(ttl_ms);
                self.reservation_expiries
                    .insert(reservation.clone(), expires_at);
                Some((200, json!({"hold": reservation})))
            }
            names::REPORT_PATH => Some((
                200,
                json!({"stage": self.stage, "busy": false, "seq": self.order_count, "kv_used": 0}),
            )),
            names::ORDER_PATH => {
                self.order_count += 1;
                Some((202, Value::Null))
            }
            _ => None,
        }
    }
}

/// Guard that counts a stream as in progress until it is dropped.
pub(super) struct ActiveStream {
    shared: SharedState,
}

impl ActiveStream {
    pub(super) fn start(shared: &SharedState) -> Self {
        shared
            .lock()
            .expect("the mutex is not poisoned")
            .active_count += 1;
        Self {
            shared: shared.clone(),
        }
    }
}

impl Drop for ActiveStream {
    fn drop(&mut self) {
        if let Ok(mut state) = self.shared.lock() {
            state.active_count -= 1;
        }
    }
}

pub(super) fn count_unexpired(expiries: &collections::BTreeMap<String, time::Instant>) -> usize {
    let now = time::Instant::now();
    expiries
        .values()
        .filter(|expires_at| **expires_at > now)
        .count()
}
