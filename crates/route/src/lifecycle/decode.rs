//! The stream of a request's answer, and the failures of its decode agents.

use crate::budget::RetryCause;
use crate::lifecycle::lifecycle::Context;
use crate::lifecycle::lifecycle::RETRY_WAIT;
use crate::lifecycle::lifecycle::RequestLifecycle;
use crate::lifecycle::messages::Action;
use crate::lifecycle::messages::Failure;
use crate::lifecycle::messages::Fault;
use crate::lifecycle::messages::Stage;
use crate::quarantine::CrashId;
use world::Name;

impl RequestLifecycle {
    /// Sends the next token to the caller. If tokens are missing, the request is decoded
    /// again from the first one that the caller has not received.
    pub(super) fn chunk(
        &mut self,
        round: u32,
        offset: u32,
        text: String,
        cx: &mut Context<'_>,
    ) -> Vec<Action> {
        if !matches!(self.stage, Stage::Streaming(_)) || round != self.round {
            return Vec::new();
        }
        // The caller already has this token.
        if offset < self.emitted_tokens {
            return Vec::new();
        }
        // Tokens before this one are missing.
        if offset > self.emitted_tokens {
            return self.retry_decode(RetryCause::Stream, cx);
        }
        self.emitted_tokens += 1;
        vec![Action::EmitText(text)]
    }

    /// Finishes the request if all tokens have arrived.
    pub(super) fn stream_ended(
        &mut self,
        round: u32,
        finish: String,
        tokens: u32,
        cx: &mut Context<'_>,
    ) -> Vec<Action> {
        let decode = match &self.stage {
            Stage::Streaming(d) if round == self.round => d.clone(),
            _ => return Vec::new(),
        };
        if tokens != self.emitted_tokens {
            return self.retry_decode(RetryCause::Stream, cx);
        }
        cx.quarantine.clear_suspect(self.spec.digest);
        self.release_suspect(cx);
        self.stage = Stage::Finished;
        vec![
            Action::Release(round, decode),
            Action::Finish(finish, tokens),
        ]
    }

    /// Handles the failure of a bid, seat, import or stream at a host.
    pub(super) fn decode_fault(
        &mut self,
        round: u32,
        host: Name,
        fault: Fault,
        cx: &mut Context<'_>,
    ) -> Vec<Action> {
        if round != self.round {
            return Vec::new();
        }
        self.attribute_failure(&host, fault, cx);
        let cause = match &self.stage {
            Stage::Waiting(_) => return self.remove_bid(host, fault, cx),
            Stage::SeatHeld(d) | Stage::Prefilling(d, _) if *d == host => RetryCause::Prefill,
            Stage::Importing(d, _) if *d == host => RetryCause::Transfer,
            Stage::Streaming(d) if *d == host => RetryCause::Stream,
            _ => return Vec::new(),
        };
        match fault {
            Fault::Invalid => self.fail(Failure::TooLarge, cx),
            Fault::Crashed(count) => {
                let mut actions = self.record_crash(host, count, cx);
                actions.extend(self.retry_decode(cause, cx));
                actions
            }
            Fault::Draining | Fault::Stalled | Fault::Lost | Fault::Expired => {
                self.retry_decode(cause, cx)
            }
        }
    }

    /// Records a failure at the agent that caused it: the source of a failed
    /// transfer, otherwise the decode agent itself.
    pub(super) fn attribute_failure(&self, host: &Name, fault: Fault, cx: &mut Context<'_>) {
        match (&self.stage, fault) {
            (_, Fault::Draining) => {}
            (Stage::Importing(_, prefill), Fault::Stalled | Fault::Expired) => {
                cx.fleet.record_failure(prefill, cx.now);
            }
            _ => cx.fleet.record_failure(host, cx.now),
        }
    }

    /// Records a crash, and reports it to the other entries if it is new.
    pub(super) fn record_crash(
        &mut self,
        host: Name,
        count: u64,
        cx: &mut Context<'_>,
    ) -> Vec<Action> {
        let id = CrashId { host, count };
        let digest = self.spec.digest;
        match cx.quarantine.record_crash(digest, id.clone(), cx.now) {
            true => vec![Action::ReportCrash(digest, id)],
            false => Vec::new(),
        }
    }

    /// Removes a failed bid; after the last one, the request bids again later.
    pub(super) fn remove_bid(
        &mut self,
        host: Name,
        fault: Fault,
        cx: &mut Context<'_>,
    ) -> Vec<Action> {
        let Stage::Waiting(bids) = &mut self.stage else {
            return Vec::new();
        };
        bids.retain(|b| *b != host);
        if fault == Fault::Invalid && bids.is_empty() {
            return self.fail(Failure::TooLarge, cx);
        }
        match bids.is_empty() {
            true => vec![Action::SetTimer(RETRY_WAIT)],
            false => Vec::new(),
        }
    }

    /// Releases the seat and starts a new round of bids once the retry budget allows.
    pub(super) fn retry_decode(&mut self, cause: RetryCause, cx: &mut Context<'_>) -> Vec<Action> {
        let importing = matches!(self.stage, Stage::Importing(..));
        if importing || matches!(self.stage, Stage::Streaming(_)) {
            self.wasted_tokens += self.computed_tokens;
        }
        if cx.budget.try_retry(cause, cx.now) {
            return self.restart(cx);
        }
        let mut actions = self.release_all();
        self.release_suspect(cx);
        self.stage = Stage::Waiting(Vec::new());
        actions.push(Action::SetTimer(RETRY_WAIT));
        actions
    }
}
