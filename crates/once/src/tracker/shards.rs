//! Reads and writes of the shards' records, and what their results decide.

use crate::event::Action;
use crate::event::ReadResult;
use crate::event::WriteResult;
use crate::record::ClaimState;
use crate::shard::Shard;
use crate::shard_state::Stage;
use crate::tracker::call::StepContext;
use crate::tracker::call::TrackedCall;
use crate::tracker::tracker::ClaimTracker;

impl ClaimTracker {
    /// Takes over a record that was read, or schedules another read.
    pub(super) fn shard_read(&mut self, shard: Shard, read: ReadResult, cx: &mut StepContext) {
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
    pub(super) fn shard_written(&mut self, shard: Shard, write: WriteResult, cx: &mut StepContext) {
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
    pub(super) fn reconcile(&mut self, shard: Shard, cx: &mut StepContext) {
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

    /// Starts the reads and writes that are due.
    pub(super) fn start_due_io(&mut self, cx: &mut StepContext) {
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
