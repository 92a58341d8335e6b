//! The prefill of a request that holds a seat, and the import of its KV cache.

use crate::budget::RetryCause;
use crate::lifecycle::lifecycle::Context;
use crate::lifecycle::lifecycle::RETRY_WAIT;
use crate::lifecycle::lifecycle::RequestLifecycle;
use crate::lifecycle::messages::Action;
use crate::lifecycle::messages::Failure;
use crate::lifecycle::messages::Fault;
use crate::lifecycle::messages::Stage;
use std::time;
use world::Name;

/// Failed prefills after which a request fails.
const MAX_FAILED_PREFILLS: u32 = 12;

impl RequestLifecycle {
    /// Starts a prefill for the seat held at `host`.
    pub(super) fn start_prefill(&mut self, host: Name, cx: &mut Context<'_>) -> Vec<Action> {
        // A peer may have reported a crash since the bid.
        if cx.quarantine.is_quarantined(self.spec.digest) {
            return self.fail(Failure::Quarantined, cx);
        }
        if self.failed_prefills >= MAX_FAILED_PREFILLS {
            return self.fail(Failure::RetriesExhausted, cx);
        }
        let tokens = self.spec.prompt_tokens + u64::from(self.emitted_tokens);
        let choice = cx.fleet.choose_prefill(
            &self.spec.upstream,
            &host,
            tokens,
            &self.spec.prefixes,
            cx.now,
        );
        let Some(choice) = choice else {
            self.stage = Stage::SeatHeld(host);
            return vec![Action::SetTimer(RETRY_WAIT)];
        };
        self.prefill_attempt += 1;
        self.expected_cached = choice.cached_tokens;
        self.stage = Stage::Prefilling(host, choice.host.clone());
        vec![Action::Prefill(self.prefill_attempt, choice)]
    }

    /// Starts the decoding once the prefill is done.
    pub(super) fn prefill_done(
        &mut self,
        attempt: u32,
        tokens: u64,
        cached: u64,
        cx: &mut Context<'_>,
    ) -> Vec<Action> {
        let (decode, prefill) = match &self.stage {
            Stage::Prefilling(d, p) if attempt == self.prefill_attempt => (d.clone(), p.clone()),
            _ => return Vec::new(),
        };
        cx.fleet
            .record_prefill(&prefill, &self.spec.prefixes, self.expected_cached, cached);
        self.computed_tokens = tokens.saturating_sub(cached);
        self.stage = Stage::Importing(decode.clone(), prefill);
        vec![Action::StartDecode(self.round, decode, self.emitted_tokens)]
    }

    /// Starts another prefill or, after a crash, a new round of bids. An invalid request
    /// fails.
    pub(super) fn prefill_fault(
        &mut self,
        attempt: u32,
        fault: Fault,
        cx: &mut Context<'_>,
    ) -> Vec<Action> {
        let (decode, prefill) = match &self.stage {
            Stage::Prefilling(d, p) if attempt == self.prefill_attempt => (d.clone(), p.clone()),
            _ => return Vec::new(),
        };
        match fault {
            Fault::Invalid => return self.fail(Failure::TooLarge, cx),
            Fault::Crashed(count) => {
                // The request is a suspect now and could crash the engine of its seat
                // next, so it bids again as a suspect.
                let mut actions = self.record_crash(prefill, count, cx);
                actions.extend(self.restart(cx));
                return actions;
            }
            Fault::Stalled | Fault::Lost | Fault::Expired => self.failed_prefills += 1,
            Fault::Draining => {}
        }
        cx.fleet.record_failure(&prefill, cx.now);
        let mut actions = vec![Action::CancelPrefill(attempt)];
        // If all prefill agents failed recently, trying the next one at once would
        // only fail again.
        let elsewhere = cx.fleet.has_healthy_prefill(&self.spec.upstream, cx.now);
        if elsewhere
            && (fault == Fault::Draining || cx.budget.try_retry(RetryCause::Prefill, cx.now))
        {
            actions.extend(self.start_prefill(decode, cx));
            return actions;
        }
        self.stage = Stage::SeatHeld(decode);
        actions.push(Action::SetTimer(RETRY_WAIT));
        actions
    }

    /// Frees the prefill's result, which the decode engine has imported.
    pub(super) fn import_done(
        &mut self,
        round: u32,
        took: time::Duration,
        cx: &mut Context<'_>,
    ) -> Vec<Action> {
        let (decode, prefill) = match &self.stage {
            Stage::Importing(d, p) if round == self.round => (d.clone(), p.clone()),
            _ => return Vec::new(),
        };
        cx.fleet
            .record_transfer(&prefill, &decode, self.spec.prompt_tokens, took);
        self.stage = Stage::Streaming(decode);
        vec![Action::CancelPrefill(self.prefill_attempt)]
    }
}
