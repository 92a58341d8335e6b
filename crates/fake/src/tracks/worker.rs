//! Fake engine or plain service of the platform.

use crate::test_server::TestServer;
use crate::tracks::received_call::ReceivedCall;
use crate::tracks::worker_behaviour::WorkerBehaviour;
use crate::tracks::worker_handler::CallHandler;
use crate::tracks::worker_state::SharedState;
use crate::tracks::worker_state::State;
use crate::tracks::worker_state::count_unexpired;
use serde_json::json;
use std::net;
use std::sync;

/// A running worker.
pub struct Worker {
    /// Id in the platform's list of hosts.
    pub id: String,
    server: TestServer,
    shared: SharedState,
}

impl Worker {
    /// Starts a worker: an engine if it has a stage, and otherwise a plain service.
    pub fn start(address: net::SocketAddr, id: &str, stage: Option<&'static str>) -> Self {
        let state = State::new(id, stage);
        let shared = sync::Arc::new(sync::Mutex::new(state));
        let handler = CallHandler {
            shared: shared.clone(),
        };
        let server = TestServer::start(address, handler);
        shared.lock().expect("the mutex is not poisoned").killer = Some(server.killer());
        Self {
            id: id.to_owned(),
            server,
            shared,
        }
    }

    /// Returns the address that the worker listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Changes the behaviour. Calls in progress keep theirs, except that a change of
    /// `prefill_paused` applies to them too.
    pub fn set_behaviour(&self, change: impl FnOnce(&mut WorkerBehaviour)) {
        change(&mut self.state().behaviour);
    }

    /// Returns all calls in order of arrival, except the one that crashed the worker and
    /// those after it.
    pub fn received(&self) -> Vec<ReceivedCall> {
        self.state().calls.clone()
    }

    /// Returns the calls whose path begins with `path`, in order of arrival.
    pub fn received_under(&self, path: &str) -> Vec<ReceivedCall> {
        let mut calls = self.received();
        calls.retain(|c| c.path.starts_with(path));
        calls
    }

    /// Returns the number of KV caches that were neither freed nor have expired.
    pub fn handle_count(&self) -> usize {
        count_unexpired(&self.state().handle_expiries)
    }

    /// Returns the number of reservations that were neither used nor released and have
    /// not expired.
    pub fn reservation_count(&self) -> usize {
        count_unexpired(&self.state().reservation_expiries)
    }

    /// Returns the number of chunks of noise that were sent.
    pub fn noise_count(&self) -> usize {
        self.state().noise_count
    }

    /// Returns the number of streams in progress.
    pub fn active_streams(&self) -> usize {
        self.state().active_count
    }

    /// Sets the address in the worker's record, such as that of a proxy in front of it.
    /// By default, the record has the address that the worker listens on.
    pub fn advertise(&self, address: net::SocketAddr) {
        self.state().advertised_address = Some(address);
    }

    /// Closes the port and all connections.
    pub fn kill(&self) {
        self.server.kill();
    }

    /// Returns whether a request has crashed the worker.
    pub fn crashed(&self) -> bool {
        self.state().crashed
    }

    /// Returns the worker's record for the platform's list, in JSON, with a service and a
    /// state.
    pub fn member_record(&self, service: &str, state: &str) -> String {
        let guard = self.state();
        let (stage, advertised_address) = (guard.stage, guard.advertised_address);
        let started_ms = guard.behaviour.started_ms;
        drop(guard);
        json!({
            "service": service, "address": advertised_address.unwrap_or(self.address()), "zone": "ruahine", "version": "v1",
            "slots": 8, "state": state, "cold_left_ms": 0, "stage": stage, "seq": 4,
            "born": started_ms,
        })
        .to_string()
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.shared.lock().expect("the mutex is not poisoned")
    }
}
