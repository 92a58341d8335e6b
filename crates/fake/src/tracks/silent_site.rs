//! Test cluster whose workers fall silent.

use crate::tracks::SilenceGate;
use crate::tracks::SilentWorker;
use crate::tracks::TracksCluster;
use crate::tracks::names;
use std::path;
use std::sync;

/// Entries and workers that fall silent.
pub struct SilentSite {
    /// The store and the entries.
    pub cluster: TracksCluster,
    /// The workers of all services.
    pub workers: Vec<SilentWorker>,
}

impl SilentSite {
    /// Prepares entries without starting them; `program` is the daemon.
    pub fn prepare(program: &path::Path, entries: usize) -> Self {
        Self {
            cluster: TracksCluster::new(program, &[], 0, entries),
            workers: Vec::new(),
        }
    }

    /// Starts workers of a service, each with a gate of its own, and lists them as ready.
    pub fn add_workers(
        &mut self,
        service: &'static str,
        stage: Option<&'static str>,
        count: usize,
    ) {
        for _ in 0..count {
            self.add_worker(service, stage, &sync::Arc::default());
        }
    }

    /// Starts workers of a service that fall silent together, and lists them as ready.
    pub fn add_group(&mut self, service: &'static str, stage: Option<&'static str>, count: usize) {
        let gate = sync::Arc::default();
        for _ in 0..count {
            self.add_worker(service, stage, &gate);
        }
    }

    fn add_worker(
        &mut self,
        service: &'static str,
        stage: Option<&'static str>,
        gate: &sync::Arc<SilenceGate>,
    ) {
        let id = format!("silent-{}", self.workers.len());
        let worker = SilentWorker::start(&id, service, stage, gate);
        self.workers.push(worker);
        self.list_worker(self.workers.len() - 1, "ready");
    }

    /// Writes the record of one worker with its state.
    pub fn list_worker(&self, index: usize, state: &str) {
        let worker = &self.workers[index];
        let record = worker.member_record(state);
        let key = names::member_key(&worker.id);
        self.cluster.store.put(&key, record.as_bytes());
    }

    /// Returns the gates of the workers of a service.
    pub fn gates(&self, service: &str) -> Vec<sync::Arc<SilenceGate>> {
        let workers = self.workers.iter().filter(|w| w.service == service);
        workers.map(|w| w.gate.clone()).collect()
    }

    /// Returns whether a worker has received a caller's request.
    pub fn has_received(&self, id: &str) -> bool {
        let mut workers = self.workers.iter();
        workers.any(|w| w.received_ids().iter().any(|i| i == id))
    }

    /// Returns the lines about one request in the logs of all entries.
    pub fn log_of_request(&self, id: &str) -> String {
        let logs: Vec<String> = self.cluster.entries.iter().map(|e| e.log()).collect();
        let marker = format!("request={id}");
        let lines = logs.iter().flat_map(|l| l.lines());
        lines
            .filter(|l| l.split(' ').any(|word| word == marker))
            .fold(String::new(), |text, line| text + line + "\n")
    }
}
