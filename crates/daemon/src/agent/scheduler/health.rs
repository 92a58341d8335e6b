//! Whether the engine answers; see docs/DESIGN.md, "An engine that fails".

use crate::agent::scheduler::Desk;
use crate::agent::scheduler::scheduler::note_refused;
use crate::agent::worker;
use std::time;

/// Failures closer than this come from the same crash.
const SAME_CRASH: time::Duration = time::Duration::from_millis(500);

impl Desk {
    /// After a failure the engine is looked at before it gets anything more.
    pub(super) fn doubt(&mut self, error: &engine::EngineError) {
        let failed = matches!(
            error,
            engine::EngineError::Unreachable(_)
                | engine::EngineError::ConnectionLost(_)
                | engine::EngineError::Stalled
        );
        if failed && !self.down {
            self.look();
        }
    }

    pub(super) fn look(&mut self) {
        let spawned = worker::look(self.model.clone(), self.outbox.clone());
        self.down = !note_refused(spawned);
    }

    /// The engine answers. What it holds for no job here is left from before,
    /// and takes up room until it is freed.
    pub(super) fn answers(&mut self, held: Vec<String>) {
        let jobs = &self.jobs;
        let claimed = |id: &String| jobs.values().any(|job| job.id() == id);
        self.leftovers = held.into_iter().filter(|id| !claimed(id)).collect();
        for id in self.leftovers.clone() {
            let spawned = worker::sweep(self.model.clone(), id.clone(), self.outbox.clone());
            if note_refused(spawned) {
                self.leftovers.remove(&id);
            }
        }
        self.down = !self.leftovers.is_empty();
    }

    pub(super) fn swept(&mut self, id: &str) {
        self.leftovers.remove(id);
        self.down = !self.leftovers.is_empty();
    }

    pub(super) fn count_crash(&mut self) -> u64 {
        let now = time::Instant::now();
        let same = self
            .crashed
            .is_some_and(|at| now.saturating_duration_since(at) < SAME_CRASH);
        if !same {
            self.crashes += 1;
            metrics::counter!("hornbeampitch_engine_crashes_total").increment(1);
            trace::LogLine::new("engine_crashed")
                .with("host", &self.host)
                .with("count", self.crashes)
                .warn();
        }
        self.crashed = Some(now);
        self.crashes
    }
}
