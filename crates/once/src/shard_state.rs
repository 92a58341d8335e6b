//! One shard as a ledger knows it, with the changes that are on their way to the store.

use crate::event::Action;
use crate::event::CallId;
use crate::record::Claim;
use crate::record::ClaimState;
use crate::record::KeyHash;
use crate::record::ShardRecord;
use crate::shard::Shard;
use std::collections;
use std::time;

/// Claims that come within this are written together.
const GATHER: time::Duration = time::Duration::from_millis(5);
const RETRY_FIRST: time::Duration = time::Duration::from_millis(100);
const RETRY_MOST: time::Duration = time::Duration::from_secs(2);

/// What is known of one shard.
#[derive(Debug, Default)]
pub(crate) struct Page {
    pub record: ShardRecord,
    pub revision: u64,
    pub stage: Stage,
    /// Readings and writes begun so far; one is under way at a time.
    pub errands: u64,
    /// Changes that are not in the store yet.
    pub pending: collections::BTreeMap<KeyHash, Claim>,
    /// What the write under way carries, as it was when the write began.
    pub flying: collections::BTreeMap<KeyHash, Claim>,
    /// Claims of ours whose calls were given up before they ran.
    pub void: collections::BTreeSet<String>,
    /// Calls that wait for the first reading.
    pub arrivals: Vec<CallId>,
    failures: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Nothing has been read.
    #[default]
    Blank,
    Reading,
    /// What was read is current as far as is known.
    Ready,
    /// Changes wait for more until then.
    Gathering(time::Instant),
    Writing,
    /// The store failed; it is asked again then.
    Resting(time::Instant),
}

impl Page {
    pub(crate) fn read(&mut self, shard: Shard, actions: &mut Vec<Action>) {
        self.stage = Stage::Reading;
        self.errands += 1;
        actions.push(Action::ReadShard(shard));
    }

    pub(crate) fn take(&mut self, revision: u64, record: ShardRecord) {
        self.revision = revision;
        self.record = record;
        self.stage = Stage::Ready;
        self.failures = 0;
    }

    /// Lets changes wait for company, unless a write or reading is under way.
    pub(crate) fn gather(&mut self, now: time::Instant) {
        if self.stage == Stage::Ready {
            self.stage = Stage::Gathering(now + GATHER);
        }
    }

    pub(crate) fn rest(&mut self, now: time::Instant) {
        let wait = RETRY_FIRST.saturating_mul(1 << self.failures.min(8));
        self.failures += 1;
        self.stage = Stage::Resting(now + wait.min(RETRY_MOST));
    }

    /// Voids claims of ours in the store whose calls were given up.
    pub(crate) fn void_given_up(&mut self, wall: time::Duration) {
        let stray: Vec<KeyHash> = self
            .record
            .claims
            .iter()
            .filter(|(_, c)| c.state == ClaimState::Claimed && self.void.contains(&c.by))
            .map(|(key, _)| key.clone())
            .collect();
        for key in stray {
            let Some(claim) = self.record.claims.get(&key) else {
                continue;
            };
            let void = Claim {
                state: ClaimState::Void,
                at: wall.as_secs(),
                ..claim.clone()
            };
            self.record.claims.insert(key.clone(), void.clone());
            self.pending.entry(key).or_insert(void);
        }
    }

    pub(crate) fn write(&mut self, writer: String, wall: time::Duration) -> Option<Vec<u8>> {
        let mut next = self.record.clone();
        next.writer = writer;
        next.prune(wall);
        for (key, claim) in &self.pending {
            next.claims.insert(key.clone(), claim.clone());
        }
        let bytes = next.encode()?;
        self.flying = self.pending.clone();
        self.record.prune(wall);
        self.stage = Stage::Writing;
        self.errands += 1;
        Some(bytes)
    }
}
