//! A mirror of one engine's prefix cache, built from the engine's own events; see
//! docs/DESIGN.md, "Cache events".

use crate::prefix_cache::PrefixHashes;
use std::collections;

/// Most blocks whose uses are counted; the oldest are forgotten first.
const MAX_COUNTED_BLOCKS: usize = 65_536;
/// Most blocks reported to entries; each takes 20 bytes in a full report.
const MAX_REPORTED_BLOCKS: usize = 4_096;
/// Prompts that must have used a block before it is reported to entries.
const SHARED_USES: u32 = 2;

/// A change of an engine's prefix cache, as the engine publishes it. Events arrive
/// late, and some are lost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number; grows by one with each event since the engine started.
    pub seq: u64,
    /// Hashes of blocks that were added.
    pub stored: Vec<u64>,
    /// Hashes of blocks that were evicted.
    pub removed: Vec<u64>,
}

/// Whether a mirror matches its engine's cache after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncStatus {
    /// The event was the next one, or the mirror already reflects it.
    InSync,
    /// Earlier events are missing; the caller must load a snapshot of the cache.
    EventsMissing,
}

/// A mirror of one engine's prefix cache that selects the blocks to report to
/// entries.
///
/// Most blocks belong to a single prompt and are never used again. Only those that
/// several prompts share are reported, which keeps the reports small.
#[derive(Clone, Debug, Default)]
pub struct CacheMirror {
    /// Sequence number of the last event applied; `None` before a snapshot.
    seq: Option<u64>,
    /// Hashes of all cached blocks.
    cached: collections::HashSet<u64>,
    /// Number of prompts that used each block, cached or not.
    uses: collections::HashMap<u64, u32>,
    /// Counted blocks, oldest first.
    order: collections::VecDeque<u64>,
    /// Cached blocks to report.
    shared: collections::BTreeSet<u64>,
}

impl CacheMirror {
    /// Counts the use of a prompt's blocks when it is sent to the engine.
    pub fn record_prompt(&mut self, prefixes: &PrefixHashes) {
        for hash in prefixes.hashes() {
            let uses = self.uses.entry(*hash).or_insert(0);
            *uses += 1;
            if *uses == 1 {
                self.order.push_back(*hash);
            }
            if *uses == SHARED_USES && self.cached.contains(hash) {
                self.share(*hash);
            }
        }
        while self.order.len() > MAX_COUNTED_BLOCKS {
            if let Some(old) = self.order.pop_front() {
                self.uses.remove(&old);
                self.shared.remove(&old);
            }
        }
    }

    /// Applies an event, unless events before it are missing.
    pub fn apply_event(&mut self, event: &CacheEvent) -> SyncStatus {
        let Some(last) = self.seq else {
            return SyncStatus::EventsMissing;
        };
        if event.seq <= last {
            // The snapshot already contains this change.
            return SyncStatus::InSync;
        }
        if event.seq != last + 1 {
            return SyncStatus::EventsMissing;
        }
        self.seq = Some(event.seq);
        for hash in &event.removed {
            self.cached.remove(hash);
            self.shared.remove(hash);
        }
        for hash in &event.stored {
            self.store(*hash);
        }
        SyncStatus::InSync
    }

    /// Replaces the content by a snapshot of the cache as of the event `seq`.
    pub fn load_snapshot(&mut self, seq: u64, blocks: impl IntoIterator<Item = u64>) {
        self.clear();
        self.seq = Some(seq);
        for hash in blocks {
            self.store(hash);
        }
    }

    /// Forgets the cache content when the engine was lost or its event stream has ended;
    /// the use counts are kept.
    pub fn clear(&mut self) {
        self.seq = None;
        self.cached.clear();
        self.shared.clear();
    }

    /// Hashes of cached blocks that several prompts share.
    pub fn shared_blocks(&self) -> &collections::BTreeSet<u64> {
        &self.shared
    }

    /// Adds a cached block, which is shared if enough prompts have used it.
    fn store(&mut self, hash: u64) {
        self.cached.insert(hash);
        if self.uses.get(&hash).is_some_and(|n| *n >= SHARED_USES) {
            self.share(hash);
        }
    }

    /// Adds a block to those to report, up to the limit.
    fn share(&mut self, hash: u64) {
        if self.shared.len() < MAX_REPORTED_BLOCKS {
            self.shared.insert(hash);
        }
    }
}
