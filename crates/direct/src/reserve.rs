//! Reserves memory and a slot at decode engines.

use crate::guards::ReservationGuard;
use crate::meters;
use crate::prefill::PREFILL_TIME_FACTOR;
use crate::stream::StartError;
use crate::stream::StreamRunner;
use crate::telemetry;
use seam::Upstreams;
use std::time;

/// Timeout for a reservation call.
const RESERVE_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Time that a reservation lasts beyond the timeout of its prompt.
const RESERVE_MARGIN: time::Duration = time::Duration::from_millis(400);

impl<P: seam::Platform> StreamRunner<P> {
    /// Finds out why an engine refused a stream for which it had granted a
    /// reservation: either the engine is changing its role, or the prefill
    /// engine no longer had the KV cache.
    pub(crate) fn diagnose_refusal(&self, target: &seam::Target, source: Option<seam::KvSource>) {
        let (entry, pool, target) = (self.entry.clone(), self.pool.clone(), target.clone());
        tokio::task::spawn_local(async move {
            let Some(status) = entry.upstreams.engine_status(&target).await else {
                return;
            };
            let now = time::Instant::now();
            let other_role = status.role.filter(|r| *r != seam::Role::Decode);
            trace::LogLine::new("refusal_explained")
                .with("upstream", &target.id)
                .with("busy", status.switching)
                .with("part", telemetry::role_label(status.role))
                .with("used", status.used_tokens)
                .info();
            if status.switching || other_role.is_some() {
                entry.mark_role_change(&target.id, other_role.unwrap_or(seam::Role::Prefill), now);
            } else if let Some(source) = source {
                pool.prefill_pool
                    .borrow_mut()
                    .record_failure(&source.holder.id, now);
            }
        });
    }

    /// Reserves memory and a slot at an engine until the stream should start.
    pub(crate) async fn reserve(
        &mut self,
        target: &seam::Target,
        need: u64,
        expected: time::Duration,
    ) -> Result<ReservationGuard<P>, StartError> {
        let max_reservation = self.pool.spec.borrow().max_reservation;
        let ttl = (expected * PREFILL_TIME_FACTOR + RESERVE_MARGIN).min(max_reservation);
        let asked_at = time::Instant::now();
        let deadline = asked_at + RESERVE_TIMEOUT;
        let outcome = self
            .entry
            .upstreams
            .reserve(target, need, ttl, deadline)
            .await;
        let now = time::Instant::now();
        count_outcome(&outcome, now.saturating_duration_since(asked_at));
        let mut decode_pool = self.pool.decode_pool.borrow_mut();
        match outcome {
            seam::ReserveOutcome::Granted(name) => {
                Ok(ReservationGuard::new(&self.entry, target, name))
            }
            seam::ReserveOutcome::Full => {
                let load = decode_pool.load(&target.id, now);
                decode_pool.record_refusal(&target.id, now);
                self.job
                    .log_line("seat_refused")
                    .with("upstream", &target.id)
                    .with("need", need)
                    .with("known_tokens", load.memory.now())
                    .with("known_peak", load.memory.peak())
                    .with("known_streams", load.streams)
                    .info();
                // Only the engine knows how much room it has, so a full engine
                // does not count as a failed attempt.
                self.failed_attempts = self.failed_attempts.saturating_sub(1);
                Err(StartError::NotExecuted("full"))
            }
            seam::ReserveOutcome::Failed(seam::FailureCause::Withheld) => {
                // The engine was not called, and is not picked again.
                self.failed_attempts = self.failed_attempts.saturating_sub(1);
                Err(StartError::NotExecuted("withheld"))
            }
            seam::ReserveOutcome::Failed(cause) => {
                decode_pool.record_failure(&target.id, now);
                self.job
                    .log_line("reserve_failed")
                    .with("upstream", &target.id)
                    .with("cause", cause)
                    .info();
                Err(StartError::NotExecuted("reserve_failed"))
            }
        }
    }
}

/// Counts an answer to a reservation call, or the lack of one.
fn count_outcome(outcome: &seam::ReserveOutcome, took: time::Duration) {
    let meters = meters::meters();
    let label = match outcome {
        seam::ReserveOutcome::Granted(_) => "granted",
        seam::ReserveOutcome::Full => "full",
        seam::ReserveOutcome::Failed(seam::FailureCause::Withheld) => "withheld",
        seam::ReserveOutcome::Failed(_) => "failed",
    };
    meters.reservations.add(label, 1);
    meters.reservation.record(took.as_secs_f64());
}
