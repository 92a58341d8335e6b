//! Tracks whether the engine answers, and cancels requests that earlier agents left
//! at it; see docs/DESIGN.md, "An engine that fails".

use crate::agent::scheduler::JobScheduler;
use crate::agent::scheduler::scheduler::spawn_failed;
use crate::agent::worker;
use std::time;

/// Failures within this time of each other count as one crash.
const CRASH_WINDOW: time::Duration = time::Duration::from_millis(500);

impl JobScheduler {
    /// Probes the engine after an error that shows it may be down. Until a probe is
    /// answered, the engine gets no new requests.
    pub(super) fn probe_if_unresponsive(&mut self, error: &engine::EngineError) {
        let failed = matches!(
            error,
            engine::EngineError::Unreachable(_)
                | engine::EngineError::ConnectionLost(_)
                | engine::EngineError::Stalled
        );
        if failed && !self.down {
            self.start_probe();
        }
    }

    /// Probes the engine until it answers; it counts as down meanwhile. If no thread
    /// can be started for the probe, it counts as up, since nothing would set it to up
    /// again.
    pub(super) fn start_probe(&mut self) {
        let spawned = worker::probe(self.engine.clone(), self.event_sender.clone());
        self.down = !spawn_failed(spawned);
    }

    /// Handles the engine's answer to a probe, which lists the requests that it holds.
    /// Those that belong to no job were left by an earlier agent or an earlier failure.
    /// They take up engine memory, so they are cancelled before the engine gets new
    /// requests.
    pub(super) fn handle_probe_answer(&mut self, running: Vec<String>) {
        let jobs = &self.jobs;
        let has_job = |id: &String| jobs.values().any(|job| job.id() == id);
        self.orphans = running.into_iter().filter(|id| !has_job(id)).collect();
        for id in self.orphans.clone() {
            let spawned =
                worker::cancel_orphan(self.engine.clone(), id.clone(), self.event_sender.clone());
            if spawn_failed(spawned) {
                self.orphans.remove(&id);
            }
        }
        self.down = !self.orphans.is_empty();
    }

    /// Lets the engine get requests again once its last orphan is cancelled.
    pub(super) fn handle_orphan_cancelled(&mut self, id: &str) {
        self.orphans.remove(id);
        self.down = !self.orphans.is_empty();
    }

    /// Counts a crash of the engine, unless it belongs to the previous one, and
    /// returns the number of crashes. Entries use the number to tell crashes apart.
    pub(super) fn count_crash(&mut self) -> u64 {
        let now = time::Instant::now();
        let same_crash = self
            .last_crash
            .is_some_and(|at| now.saturating_duration_since(at) < CRASH_WINDOW);
        if !same_crash {
            self.crash_count += 1;
            metrics::counter!("hornbeampitch_engine_crashes_total").increment(1);
            trace::LogLine::new("engine_crashed")
                .with("host", &self.host)
                .with("count", self.crash_count)
                .warn();
        }
        self.last_crash = Some(now);
        self.crash_count
    }
}
