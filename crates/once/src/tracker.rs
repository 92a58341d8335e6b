//! The state machine that claims idempotency keys for the calls of one agent; see
//! docs/DESIGN.md, "At most once".

use crate::event::Action;
use crate::event::Call;
use crate::event::CallId;
use crate::event::CallOutcome;
use crate::event::Event;
use crate::event::ReadResult;
use crate::event::WriteResult;
use crate::record::Answer;
use crate::record::Claim;
use crate::record::ClaimState;
use crate::record::HexHash;
use crate::shard::Shard;
use crate::shard_state::ShardState;
use crate::shard_state::Stage;
use std::collections;
use std::time;

/// Claims keys for the calls that one agent receives, and tracks the calls until they
/// are answered.
///
/// It does no I/O: [`ClaimTracker::step`] takes events and returns actions.
#[derive(Debug)]
pub struct ClaimTracker {
    /// Identifies this process in claims and writes.
    owner: String,
    shards: collections::BTreeMap<Shard, ShardState>,
    calls: collections::BTreeMap<CallId, TrackedCall>,
    /// Number of writes started so far, which makes each writer's name unique.
    write_count: u64,
}

/// A call that is not answered yet.
#[derive(Debug)]
struct TrackedCall {
    call: Call,
    state: CallState,
    /// Why the call has not run.
    reason: String,
    /// Number of reads and writes that the shard had started when the call arrived;
    /// their results may be older than the call.
    io_before: u64,
    /// Whether a read or write started after the call's arrival has ended.
    reread: bool,
    /// Whether the result of such a read or write showed the key as free.
    key_free: bool,
    /// Resent calls that wait for the answer of this one.
    resends: Vec<CallId>,
}

/// How far a call has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    /// It waits for the shard's record.
    Undecided,
    /// Its claim is being written.
    Claiming,
    /// It was started and has not ended yet.
    Running,
    /// It has certainly not run; this is being written, so that its key can be
    /// claimed again anywhere.
    Voiding,
    /// A resent call that waits for the answer of the first one.
    AwaitingFirst,
}

/// Time of a step and the actions decided in it so far.
struct StepContext {
    now: time::Instant,
    /// Time since the Unix epoch.
    unix_time: time::Duration,
    actions: Vec<Action>,
}

impl ClaimTracker {
    /// Creates a tracker without calls. `owner` must differ for each start of the
    /// process.
    pub fn new(owner: String) -> Self {
        Self {
            owner,
            shards: collections::BTreeMap::new(),
            calls: collections::BTreeMap::new(),
            write_count: 0,
        }
    }

    /// Handles one event and returns the actions to carry out. `unix_time` is the time
    /// since the Unix epoch.
    pub fn step(
        &mut self,
        event: Event,
        now: time::Instant,
        unix_time: time::Duration,
    ) -> Vec<Action> {
        let cx = &mut StepContext {
            now,
            unix_time,
            actions: Vec::new(),
        };
        match event {
            Event::CallReceived(call) => self.call_received(call, cx),
            Event::ShardRead(shard, read) => self.shard_read(shard, read, cx),
            Event::ShardWritten(shard, write) => self.shard_written(shard, write, cx),
            Event::CallRan(id, answer) => self.call_ran(id, answer, cx),
            Event::CallNotRun(id, reason) => self.call_not_run(id, &reason, cx),
            Event::OutcomeUnknown(id, reason) => self.finish(id, CallOutcome::Unknown(reason), cx),
            Event::Timer => self.expire_calls(cx),
        }
        self.start_due_io(cx);
        std::mem::take(&mut cx.actions)
    }

    /// Returns whether there are no unanswered calls and no changes to write.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.shards.values().all(|p| p.pending.is_empty())
    }

    /// Number of unanswered calls.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Decides on a new call at once if the shard's record is known, or else after the
    /// first read.
    fn call_received(&mut self, call: Call, cx: &mut StepContext) {
        let (id, shard) = (call.id, call.shard);
        let tracked = TrackedCall {
            call,
            state: CallState::Undecided,
            reason: String::new(),
            io_before: 0,
            reread: false,
            key_free: false,
            resends: Vec::new(),
        };
        let state = self.shards.entry(shard).or_default();
        state.undecided.push(id);
        let io_before = state.io_count;
        self.calls.insert(
            id,
            TrackedCall {
                io_before,
                ..tracked
            },
        );
        if !matches!(state.stage, Stage::Unread | Stage::Reading) {
            self.decide_waiting(shard, cx);
        }
    }

    /// Decides on the calls that waited for a read or write.
    fn decide_waiting(&mut self, shard: Shard, cx: &mut StepContext) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        for id in std::mem::take(&mut state.undecided) {
            self.decide(id, cx);
        }
    }

    /// Claims a call's key or answers the call, by what is known of the key.
    fn decide(&mut self, id: CallId, cx: &mut StepContext) {
        let Some(tracked) = self.calls.get(&id) else {
            return;
        };
        let call = tracked.call.clone();
        let Some(state) = self.shards.get_mut(&call.shard) else {
            return;
        };
        let known = state.pending.get(&call.key);
        let known = known
            .or_else(|| state.record.claims.get(&call.key))
            .cloned();
        match known {
            Some(claim) if claim.state != ClaimState::Void && claim.content != call.content => {
                self.finish(id, CallOutcome::Mismatch, cx);
            }
            Some(Claim {
                state: ClaimState::Done(answer),
                ..
            }) => self.finish(id, CallOutcome::Answered(answer, true), cx),
            Some(Claim {
                state: ClaimState::Ran,
                ..
            }) => {
                let text = "the call has run, but its answer was not kept";
                self.finish(id, CallOutcome::Unknown(text.into()), cx);
            }
            Some(Claim {
                state: ClaimState::Claimed,
                ..
            }) => self.await_first(id, &call, cx),
            Some(Claim {
                state: ClaimState::Void,
                ..
            })
            | None => self.claim(id, call, cx),
        }
    }

    /// Lets a resent call wait for the first one if that runs here. Otherwise the
    /// claim is another agent's, and the shard is read again for its outcome.
    fn await_first(&mut self, id: CallId, call: &Call, cx: &mut StepContext) {
        let first = self.calls.iter_mut().find(|(other, tracked)| {
            **other != id
                && tracked.call.key == call.key
                && matches!(tracked.state, CallState::Claiming | CallState::Running)
        });
        if let Some((_, first)) = first {
            first.resends.push(id);
            if let Some(tracked) = self.calls.get_mut(&id) {
                tracked.state = CallState::AwaitingFirst;
            }
            return;
        }
        if self.await_reread(id, call.shard, cx) {
            return;
        }
        let text = "the call was claimed before and its outcome was not recorded";
        self.finish(id, CallOutcome::Unknown(text.into()), cx);
    }

    /// Lets a call wait for a read or write started after its arrival. Returns false
    /// if such a one has already ended.
    fn await_reread(&mut self, id: CallId, shard: Shard, cx: &mut StepContext) -> bool {
        let (Some(tracked), Some(state)) = (self.calls.get_mut(&id), self.shards.get_mut(&shard))
        else {
            return false;
        };
        if tracked.reread {
            return false;
        }
        tracked.state = CallState::Undecided;
        state.undecided.push(id);
        // A running read or write has to end before the next one starts.
        if matches!(state.stage, Stage::Current | Stage::Batching(_)) {
            state.start_read(shard, &mut cx.actions);
        }
        true
    }

    /// Adds a claim to the pending changes.
    fn claim(&mut self, id: CallId, call: Call, cx: &mut StepContext) {
        self.answer_voided(&call.key, cx);
        let claim = Claim {
            content: call.content,
            by: format!("{}/{}", self.owner, id.0),
            at: cx.unix_time.as_secs(),
            state: ClaimState::Claimed,
        };
        if let Some(tracked) = self.calls.get_mut(&id) {
            tracked.state = CallState::Claiming;
        }
        if let Some(state) = self.shards.get_mut(&call.shard) {
            state.pending.insert(call.key, claim);
            state.schedule_write(cx.now);
        }
    }

    /// Takes over a record that was read, or schedules another read.
    fn shard_read(&mut self, shard: Shard, read: ReadResult, cx: &mut StepContext) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        match read {
            ReadResult::Failed => state.back_off(cx.now),
            ReadResult::Found(revision, record) => {
                state.set_record(revision, record);
                self.reconcile(shard, cx);
                self.decide_waiting(shard, cx);
            }
        }
    }

    /// Takes over the result of a write; if it is unknown, reads the record.
    fn shard_written(&mut self, shard: Shard, write: WriteResult, cx: &mut StepContext) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        match write {
            WriteResult::Written(revision) => {
                let in_flight = std::mem::take(&mut state.in_flight);
                let mut record = state.record.clone();
                record.claims.extend(in_flight);
                state.set_record(revision, record);
                self.reconcile(shard, cx);
                self.decide_waiting(shard, cx);
            }
            WriteResult::Conflict(revision, record) => {
                state.in_flight.clear();
                state.set_record(revision, record);
                self.reconcile(shard, cx);
                self.decide_waiting(shard, cx);
            }
            WriteResult::NoEffect => {
                state.in_flight.clear();
                state.back_off(cx.now);
            }
            // Only a read tells whether the write took effect.
            WriteResult::Unknown => {
                state.in_flight.clear();
                state.start_read(shard, &mut cx.actions);
            }
        }
    }

    /// Compares the stored record with the pending changes: starts calls whose claim
    /// is stored, and answers or decides again those that lost their key.
    fn reconcile(&mut self, shard: Shard, cx: &mut StepContext) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        state.void_abandoned(cx.unix_time);
        // A read or write that started after these calls arrived has ended.
        let is_reread =
            |c: &&mut TrackedCall| c.call.shard == shard && state.io_count > c.io_before;
        for tracked in self.calls.values_mut().filter(is_reread) {
            let claim = state.record.claims.get(&tracked.call.key);
            tracked.reread = true;
            tracked.key_free |= claim.is_none_or(|c| c.state == ClaimState::Void);
        }
        let mut runs = Vec::new();
        let mut voided = Vec::new();
        let mut lost = Vec::new();
        let pending = std::mem::take(&mut state.pending);
        for (key, wanted) in pending {
            let stored = state.record.claims.get(&key);
            let is_stored = stored.is_some_and(|s| s.by == wanted.by && s.state == wanted.state);
            let is_own = stored.is_some_and(|s| s.by == wanted.by);
            let is_free = stored.is_none_or(|s| s.state == ClaimState::Void);
            if is_stored {
                match wanted.state {
                    ClaimState::Claimed => runs.push(key),
                    ClaimState::Void => voided.push(key),
                    ClaimState::Done(_) | ClaimState::Ran => {}
                }
            } else if is_free || is_own {
                state.pending.insert(key, wanted);
            } else {
                // Another agent claimed the key first.
                lost.push(key);
            }
        }
        if !state.pending.is_empty() {
            state.schedule_write(cx.now);
        }
        for key in runs {
            self.run_calls(&key, cx);
        }
        for key in voided {
            self.answer_voided(&key, cx);
        }
        for key in lost {
            self.answer_voided(&key, cx);
            for id in self.claiming_calls(&key) {
                self.decide(id, cx);
            }
        }
    }

    /// Calls of a key whose claim is being written.
    fn claiming_calls(&self, key: &HexHash) -> Vec<CallId> {
        self.calls
            .iter()
            .filter(|(_, c)| c.call.key == *key && c.state == CallState::Claiming)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Starts the calls of a key whose claim is stored.
    fn run_calls(&mut self, key: &HexHash, cx: &mut StepContext) {
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
    fn call_ran(&mut self, id: CallId, answer: Answer, cx: &mut StepContext) {
        self.record_outcome(id, ClaimState::of_answer(answer.clone()), cx);
        self.finish(id, CallOutcome::Answered(answer, false), cx);
    }

    /// Voids the claim of a call that has certainly not run. The call is answered once
    /// that is stored or its deadline has passed.
    fn call_not_run(&mut self, id: CallId, reason: &str, cx: &mut StepContext) {
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
    fn answer_voided(&mut self, key: &HexHash, cx: &mut StepContext) {
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
    fn record_outcome(&mut self, id: CallId, state: ClaimState, cx: &mut StepContext) {
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
    fn finish(&mut self, id: CallId, outcome: CallOutcome, cx: &mut StepContext) {
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
    fn expire_calls(&mut self, cx: &mut StepContext) {
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
    fn abandon_claim(&mut self, id: CallId) {
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

    /// Starts the reads and writes that are due.
    fn start_due_io(&mut self, cx: &mut StepContext) {
        let owner = self.owner.clone();
        for (shard, state) in &mut self.shards {
            match state.stage {
                Stage::Unread if !state.undecided.is_empty() => {
                    state.start_read(*shard, &mut cx.actions);
                }
                // After a failure the record is read again before any write.
                Stage::BackingOff(until) if until <= cx.now => {
                    state.start_read(*shard, &mut cx.actions);
                }
                Stage::Batching(until) if until <= cx.now => {
                    self.write_count += 1;
                    let writer = format!("{owner}#{}", self.write_count);
                    match state.start_write(writer, cx.unix_time) {
                        Some(bytes) => {
                            cx.actions
                                .push(Action::WriteShard(*shard, state.revision, bytes))
                        }
                        None => state.back_off(cx.now),
                    }
                }
                Stage::Unread
                | Stage::Reading
                | Stage::Current
                | Stage::Batching(_)
                | Stage::Writing
                | Stage::BackingOff(_) => {}
            }
        }
    }
}
