//! State of one shard in a [`ClaimTracker`](crate::ClaimTracker): the last known
//! record and the changes still to be written.

use crate::event::Action;
use crate::event::CallId;
use crate::record::Claim;
use crate::record::ClaimState;
use crate::record::HexHash;
use crate::record::ShardRecord;
use crate::shard::Shard;
use std::collections;
use std::time;

/// Changes within this time are written together.
const BATCH_TIME: time::Duration = time::Duration::from_millis(5);
/// Wait before the store is called again after a first failure.
const INITIAL_RETRY_WAIT: time::Duration = time::Duration::from_millis(100);
/// Longest wait between failed calls of the store.
const MAX_RETRY_WAIT: time::Duration = time::Duration::from_secs(2);

/// State of one shard.
#[derive(Debug, Default)]
pub(crate) struct ShardState {
    /// Last known record.
    pub record: ShardRecord,
    /// Revision of the record in the store; 0 if there is none.
    pub revision: u64,
    /// What is being done with the record.
    pub stage: Stage,
    /// Reads and writes started so far; at most one runs at a time.
    pub io_count: u64,
    /// Changes not yet stored.
    pub pending: collections::BTreeMap<HexHash, Claim>,
    /// Changes that the running write contains.
    pub in_flight: collections::BTreeMap<HexHash, Claim>,
    /// Claimants of this process whose calls have certainly not run.
    pub abandoned: collections::BTreeSet<String>,
    /// Calls to be decided after the next read or write.
    pub undecided: Vec<CallId>,
    /// Failed calls of the store in a row.
    failures: u32,
}

/// What is being done with a shard's record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The record was not read yet.
    #[default]
    Unread,
    /// A read is running.
    Reading,
    /// The record is current as far as is known, and nothing is to be written.
    Current,
    /// Changes are collected until this time and then written together.
    Batching(time::Instant),
    /// A write is running.
    Writing,
    /// A call of the store failed; the record is read again at this time.
    BackingOff(time::Instant),
}

impl ShardState {
    /// Starts a read of the record.
    pub(crate) fn start_read(&mut self, shard: Shard, actions: &mut Vec<Action>) {
        self.stage = Stage::Reading;
        self.io_count += 1;
        actions.push(Action::ReadShard(shard));
    }

    /// Takes over the record that the store holds.
    pub(crate) fn set_record(&mut self, revision: u64, record: ShardRecord) {
        self.revision = revision;
        self.record = record;
        self.stage = Stage::Current;
        self.failures = 0;
    }

    /// Schedules a write of the pending changes, unless a read or write is running
    /// or due.
    pub(crate) fn schedule_write(&mut self, now: time::Instant) {
        if self.stage == Stage::Current {
            self.stage = Stage::Batching(now + BATCH_TIME);
        }
    }

    /// Schedules a new read after a failure, with exponential backoff.
    pub(crate) fn back_off(&mut self, now: time::Instant) {
        let wait = INITIAL_RETRY_WAIT.saturating_mul(1 << self.failures.min(8));
        self.failures += 1;
        self.stage = Stage::BackingOff(now + wait.min(MAX_RETRY_WAIT));
    }

    /// Voids stored claims of this process whose calls have certainly not run.
    /// `unix_time` is the time since the Unix epoch.
    pub(crate) fn void_abandoned(&mut self, unix_time: time::Duration) {
        let stored: Vec<HexHash> = self
            .record
            .claims
            .iter()
            .filter(|(_, c)| c.state == ClaimState::Claimed && self.abandoned.contains(&c.by))
            .map(|(key, _)| key.clone())
            .collect();
        for key in stored {
            let Some(claim) = self.record.claims.get(&key) else {
                continue;
            };
            let void = Claim {
                state: ClaimState::Void,
                at: unix_time.as_secs(),
                ..claim.clone()
            };
            self.record.claims.insert(key.clone(), void.clone());
            self.pending.entry(key).or_insert(void);
        }
    }

    /// Starts a write of the pending changes and returns the encoded record, or
    /// `None` if it is too large.
    pub(crate) fn start_write(
        &mut self,
        writer: String,
        unix_time: time::Duration,
    ) -> Option<Vec<u8>> {
        let mut next = self.record.clone();
        next.writer = writer;
        next.prune(unix_time);
        for (key, claim) in &self.pending {
            next.claims.insert(key.clone(), claim.clone());
        }
        let bytes = next.encode()?;
        self.in_flight = self.pending.clone();
        self.record.prune(unix_time);
        self.stage = Stage::Writing;
        self.io_count += 1;
        Some(bytes)
    }
}
