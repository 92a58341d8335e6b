//! The state machine that claims idempotency keys for the calls of one agent; see
//! docs/DESIGN.md, "At most once".

use crate::event::Action;
use crate::event::Call;
use crate::event::CallId;
use crate::event::CallOutcome;
use crate::event::Event;
use crate::record::Claim;
use crate::record::ClaimState;
use crate::record::HexHash;
use crate::shard::Shard;
use crate::shard_state::ShardState;
use crate::shard_state::Stage;
use crate::tracker::call::CallState;
use crate::tracker::call::StepContext;
use crate::tracker::call::TrackedCall;
use std::collections;
use std::time;

/// Claims keys for the calls that one agent receives, and tracks the calls until they
/// are answered.
///
/// It does no I/O: [`ClaimTracker::step`] takes events and returns actions.
#[derive(Debug)]
pub struct ClaimTracker {
    /// Identifies this process in claims and writes.
    pub(super) owner: String,
    pub(super) shards: collections::BTreeMap<Shard, ShardState>,
    pub(super) calls: collections::BTreeMap<CallId, TrackedCall>,
    /// Number of writes started so far, which makes each writer's name unique.
    pub(super) write_count: u64,
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
        let state = self.shards.entry(shard).or_default();
        state.undecided.push(id);
        let tracked = TrackedCall {
            call,
            state: CallState::Undecided,
            reason: String::new(),
            io_before: state.io_count,
            reread: false,
            key_free: false,
            resends: Vec::new(),
        };
        self.calls.insert(id, tracked);
        if !matches!(state.stage, Stage::Unread | Stage::Reading) {
            self.decide_waiting(shard, cx);
        }
    }

    /// Decides on the calls that waited for a read or write.
    pub(super) fn decide_waiting(&mut self, shard: Shard, cx: &mut StepContext) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        for id in std::mem::take(&mut state.undecided) {
            self.decide(id, cx);
        }
    }

    /// Claims a call's key or answers the call, by what is known of the key.
    pub(super) fn decide(&mut self, id: CallId, cx: &mut StepContext) {
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

    /// Calls of a key whose claim is being written.
    pub(super) fn claiming_calls(&self, key: &HexHash) -> Vec<CallId> {
        self.calls
            .iter()
            .filter(|(_, c)| c.call.key == *key && c.state == CallState::Claiming)
            .map(|(id, _)| *id)
            .collect()
    }
}
