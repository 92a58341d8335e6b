//! Has prompts processed by prefill engines.

use crate::guards::KvCacheGuard;
use crate::meters;
use crate::seat::PendingPrefill;
use crate::stream::StartError;
use crate::stream::StreamRunner;
use crate::telemetry;
use seam::Upstreams;
use std::time;

/// A prompt times out after this multiple of its expected time.
pub(crate) const PREFILL_TIME_FACTOR: u32 = 3;
/// Shortest timeout of a prompt.
const MIN_PREFILL_TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// Maximum number of prefill engines that a prompt is sent to for one seat.
const MAX_PREFILL_ATTEMPTS: u32 = 2;

impl<P: seam::Platform> StreamRunner<P> {
    /// Returns whether the prompt was processed for an earlier seat and need not be again.
    /// A KV cache that has become too old is dropped.
    pub(crate) fn has_cache(&mut self) -> bool {
        let ttl = self.pool.spec.borrow().handle_ttl;
        self.cache = self.cache.take().filter(|cache| cache.is_usable(ttl));
        self.cache.is_some()
    }

    /// Has the prompt processed by a prefill engine, and by a second one if the
    /// first fails. Returns `None` if the decode engine has to process it, because
    /// there is no prefill engine or no retry is left.
    pub(crate) async fn prefill_with_retry(
        &mut self,
        assignment: Option<(PendingPrefill, time::Duration)>,
        zone: Option<&str>,
    ) -> Result<Option<KvCacheGuard<P>>, StartError> {
        let mut assignment = assignment;
        let mut failure = StartError::NotExecuted("no_prefill");
        for _ in 0..MAX_PREFILL_ATTEMPTS {
            let Some((prefill, expected)) = assignment else {
                return Ok(None);
            };
            if !self.take_prompt_retry() {
                return Ok(None);
            }
            match self.prefill_once(prefill, expected).await {
                Ok(cache) => return Ok(Some(cache)),
                Err(error) => failure = error,
            }
            assignment = self
                .pool
                .assign_prefill(self.job.request.prompt_tokens(), zone);
        }
        Err(failure)
    }

    /// Has the prompt processed by the assigned engine.
    async fn prefill_once(
        &mut self,
        prefill: PendingPrefill,
        expected: time::Duration,
    ) -> Result<KvCacheGuard<P>, StartError> {
        let engine = prefill.engine.clone();
        let target = self
            .entry
            .target(&engine)
            .ok_or(StartError::NotExecuted("gone"))?;
        let started_at = time::Instant::now();
        let timeout = (expected * PREFILL_TIME_FACTOR).max(MIN_PREFILL_TIMEOUT);
        let deadline = self.job.deadline.min(started_at + timeout);
        let options = seam::SendOptions {
            tenant: self.job.tenant.clone(),
            timeout: Some(self.job.time_left()),
            priority: self.engine_priority(),
            is_repeat: self.record_sending(&target),
            ..seam::SendOptions::default()
        };
        self.arrivals.record_send();
        let outcome = self
            .entry
            .upstreams
            .prefill(&target, &self.job.request, &options, deadline)
            .await;
        let now = time::Instant::now();
        let took = now.saturating_duration_since(started_at);
        self.job
            .log_line("prompt")
            .with("upstream", &engine)
            .with("tokens", self.job.request.prompt_tokens())
            .with("expected_ms", telemetry::millis(expected))
            .with("took_ms", telemetry::millis(took))
            .with("ready", matches!(outcome, seam::PrefillOutcome::Ready(_)))
            .info();
        count_outcome(&outcome, self.job.request.prompt_tokens(), expected, took);
        match &outcome {
            seam::PrefillOutcome::Ready(_) => self.arrivals.record_prefill(),
            seam::PrefillOutcome::Failed(cause) if !cause.may_have_arrived() => {
                self.arrivals.withdraw()
            }
            seam::PrefillOutcome::Refused | seam::PrefillOutcome::Failed(_) => {}
        }
        let mut prefill_pool = self.pool.prefill_pool.borrow_mut();
        match outcome {
            seam::PrefillOutcome::Ready(source) => {
                prefill_pool.record_prefill(&engine, self.job.request.prompt_tokens(), took);
                let tokens = self.job.request.prompt_tokens();
                Ok(KvCacheGuard::new(&self.entry, source, tokens))
            }
            seam::PrefillOutcome::Refused => {
                prefill_pool.record_failure(&engine, now);
                Err(StartError::NotExecuted("prefill_refused"))
            }
            seam::PrefillOutcome::Failed(seam::FailureCause::Withheld) => {
                Err(StartError::NotExecuted("withheld"))
            }
            seam::PrefillOutcome::Failed(cause) => {
                prefill_pool.record_failure(&engine, now);
                if let seam::FailureCause::Unproven(fault) = cause {
                    self.job.record_unproven(&engine, fault);
                }
                self.job
                    .log_line("prefill_failed")
                    .with("upstream", &engine)
                    .with("cause", cause)
                    .with("took_ms", telemetry::millis(took))
                    .info();
                Err(StartError::NotExecuted("prefill_failed"))
            }
        }
    }
}

/// Counts how a prefill ended, and the tokens that a failed one may have read.
fn count_outcome(
    outcome: &seam::PrefillOutcome,
    tokens: u64,
    expected: time::Duration,
    took: time::Duration,
) {
    let meters = meters::meters();
    meters.prefill.record(took.as_secs_f64());
    match outcome {
        seam::PrefillOutcome::Ready(_) if !expected.is_zero() => {
            let ratio = took.as_secs_f64() / expected.as_secs_f64();
            meters.prefill_error.record(ratio);
        }
        seam::PrefillOutcome::Failed(seam::FailureCause::TimedOut) => {
            meters.wasted_tokens.add("prefill_late", tokens);
        }
        seam::PrefillOutcome::Failed(cause) if cause.may_have_arrived() => {
            meters.wasted_tokens.add("prefill_broken", tokens);
        }
        seam::PrefillOutcome::Ready(_)
        | seam::PrefillOutcome::Refused
        | seam::PrefillOutcome::Failed(_) => {}
    }
}
