//! Terms on which a stream waits and runs: its urgency, its times and its trial.

use crate::stream::StartError;
use crate::stream::StreamRunner;
use crate::trials;
use crate::trials::TrialGuard;
use std::time;

/// How long callers wait for an event before they disconnect: the longest of this
/// number of the route's latency targets, this number of its targets for the pause
/// between two events, and this time.
const CALLER_TIMEOUT: (u32, u32, time::Duration) = (4, 8, time::Duration::from_secs(2));
/// The lowest priority that engines know.
const MAX_ENGINE_PRIORITY: u8 = 9;

impl<P: seam::Platform> StreamRunner<P> {
    /// Returns the priority at engines, where streams of a service differ in it.
    pub(crate) fn engine_priority(&self) -> Option<u8> {
        let priority = self.job.route.priority.min(MAX_ENGINE_PRIORITY);
        self.pool.is_shared().then_some(priority)
    }

    /// Returns from when on the caller waits for its first event. Entries that share one order
    /// count from its first request.
    pub(crate) fn asked_at(&self) -> time::Instant {
        let first = self.first_asked.filter(|_| self.pool.is_shared());
        first.unwrap_or(self.job.arrived_at)
    }

    /// Returns whether this request runs apart because it is suspected.
    pub(crate) fn is_trial(&self) -> bool {
        self.trial.is_some() || self.job.is_test
    }

    /// Waits until this request may run beside others that hold the same suspected
    /// elements, at most until its caller would leave.
    pub(crate) async fn enter_trial(
        &self,
        last_event: Option<u64>,
    ) -> Result<Option<TrialGuard<P>>, StartError> {
        let end = self.caller_deadline(last_event);
        let entered = trials::enter(&self.entry, &self.job);
        let entered = tokio::time::timeout_at(end.into(), entered).await;
        entered.map_err(|_| StartError::Abandoned)
    }

    /// Returns when the caller disconnects if it receives no event.
    pub(crate) fn caller_deadline(&self, last_event: Option<u64>) -> time::Instant {
        let (targets, gaps, minimum) = CALLER_TIMEOUT;
        let route = &self.job.route;
        let timeout = (route.latency_target * targets)
            .max(route.max_gap * gaps)
            .max(minimum);
        // The caller of an interrupted stream waits for the next event from now on.
        let from = match last_event {
            Some(_) => time::Instant::now(),
            None => self.job.arrived_at,
        };
        (from + timeout).min(self.job.deadline)
    }
}
