//! The runs of calls whose key is claimed, and the answers to callers.

use crate::event::Action;
use crate::event::CallId;
use crate::event::CallOutcome;
use crate::record::Answer;
use crate::record::Claim;
use crate::record::ClaimState;
use crate::record::HexHash;
use crate::tracker::call::CallState;
use crate::tracker::call::StepContext;
use crate::tracker::tracker::ClaimTracker;

impl ClaimTracker {
    /// Starts the calls of a key whose claim is stored.
    pub(super) fn run_calls(&mut self, key: &HexHash, cx: &mut StepContext) {
        for id in self.claiming_calls(key) {
            let Some(tracked) = self.calls.get_mut(&id) else {
                continue;
            };
            tracked.state = CallState::Running;
            cx.actions.push(Action::RunCall(id));
            // The claim succeeded, so the key was free for the resent calls too.
            for other in tracked.resends.clone() {
                if let Some(other) = self.calls.get_mut(&other) {
                    other.key_free = true;
                }
            }
        }
    }

    /// Records a call's answer and reports it; the caller doesn't wait for the write.
    pub(super) fn call_ran(&mut self, id: CallId, answer: Answer, cx: &mut StepContext) {
        self.record_outcome(id, ClaimState::of_answer(answer.clone()), cx);
        self.finish(id, CallOutcome::Answered(answer, false), cx);
    }

    /// Voids the claim of a call that has certainly not run. The call is answered once
    /// that is stored or its deadline has passed.
    pub(super) fn call_not_run(&mut self, id: CallId, reason: &str, cx: &mut StepContext) {
        self.record_outcome(id, ClaimState::Void, cx);
        let Some(tracked) = self.calls.get_mut(&id) else {
            return;
        };
        tracked.state = CallState::Voiding;
        tracked.reason = reason.to_owned();
        let by = format!("{}/{}", self.owner, id.0);
        if let Some(state) = self.shards.get_mut(&tracked.call.shard) {
            state.abandoned.insert(by);
        }
    }

    /// Answers the calls of a key whose void claim is stored or replaced.
    pub(super) fn answer_voided(&mut self, key: &HexHash, cx: &mut StepContext) {
        let voided: Vec<(CallId, String)> = self
            .calls
            .iter()
            .filter(|(_, c)| c.call.key == *key && c.state == CallState::Voiding)
            .map(|(id, c)| (*id, c.reason.clone()))
            .collect();
        for (id, reason) in voided {
            self.finish(id, CallOutcome::NotRun(reason), cx);
        }
    }

    /// Records the outcome of a running call and schedules its write.
    pub(super) fn record_outcome(&mut self, id: CallId, state: ClaimState, cx: &mut StepContext) {
        let Some(tracked) = self.calls.get(&id) else {
            return;
        };
        let claim = Claim {
            content: tracked.call.content.clone(),
            by: format!("{}/{}", self.owner, id.0),
            at: cx.unix_time.as_secs(),
            state,
        };
        let key = tracked.call.key.clone();
        if let Some(state) = self.shards.get_mut(&tracked.call.shard) {
            state.pending.insert(key, claim);
            state.schedule_write(cx.now);
        }
    }

    /// Reports a call's outcome to it and to the resent calls that wait for it.
    pub(super) fn finish(&mut self, id: CallId, outcome: CallOutcome, cx: &mut StepContext) {
        let Some(tracked) = self.calls.remove(&id) else {
            return;
        };
        let resend_outcome = match &outcome {
            CallOutcome::Answered(answer, _) => CallOutcome::Answered(answer.clone(), true),
            other => other.clone(),
        };
        cx.actions.push(Action::SendReply(id, outcome));
        for other in tracked.resends {
            let free = self.calls.get(&other).is_some_and(|o| o.key_free);
            let outcome = match &resend_outcome {
                CallOutcome::NotRun(reason) if !free => CallOutcome::AttemptNotRun(reason.clone()),
                outcome => outcome.clone(),
            };
            self.finish(other, outcome, cx);
        }
    }

    /// Answers calls whose deadline has passed and that have not run.
    pub(super) fn expire_calls(&mut self, cx: &mut StepContext) {
        let expired: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, c)| c.call.deadline <= cx.now)
            .filter(|(_, c)| matches!(c.state, CallState::Undecided | CallState::Claiming))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            let text = String::from("the claim could not be made durable in time");
            let outcome = match self.calls.get(&id).is_some_and(|c| c.key_free) {
                true => CallOutcome::NotRun(text),
                false => CallOutcome::AttemptNotRun(text),
            };
            self.abandon_claim(id);
            self.finish(id, outcome, cx);
        }
        let unwritten: Vec<(CallId, String)> = self
            .calls
            .iter()
            .filter(|(_, c)| c.call.deadline <= cx.now && c.state == CallState::Voiding)
            .map(|(id, c)| (*id, c.reason.clone()))
            .collect();
        for (id, reason) in unwritten {
            self.finish(id, CallOutcome::NotRun(reason), cx);
        }
    }

    /// Abandons a call's claim, which may already be in a running write.
    pub(super) fn abandon_claim(&mut self, id: CallId) {
        let Some(tracked) = self.calls.get(&id) else {
            return;
        };
        let Some(state) = self.shards.get_mut(&tracked.call.shard) else {
            return;
        };
        let by = format!("{}/{}", self.owner, id.0);
        state.undecided.retain(|a| *a != id);
        state.pending.retain(|_, c| c.by != by);
        state.abandoned.insert(by);
    }
}
