//! What one engine has cached, by its own events; see docs/DESIGN.md, "Cache events".

use crate::prefix_cache::PrefixHashes;
use std::collections;

/// Blocks whose use is counted; the oldest are forgotten first.
const COUNTED: usize = 65_536;
/// Blocks that entries are told of; 20 bytes each in a full report.
const TOLD: usize = 4_096;
/// Prompts that must have used a block before other entries are told of it.
const SHARED: u32 = 2;

/// An engine's cache events, which come late and with gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvent {
    /// Grows by one with each event of an engine's life.
    pub seq: u64,
    /// Blocks that were cached.
    pub stored: Vec<u64>,
    /// Blocks that were thrown out.
    pub removed: Vec<u64>,
}

/// What is to be done after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncStatus {
    /// Nothing: the event followed the last, or is known already.
    InSync,
    /// Read the whole cache: events are missing.
    EventsMissing,
}

/// A mirror of one engine's cache, and which of its blocks are worth telling.
///
/// Most blocks belong to one prompt and are never asked for again. Only those
/// that several prompts began with are told, so that what is told stays small.
#[derive(Clone, Debug, Default)]
pub struct CacheMirror {
    seq: Option<u64>,
    cached: collections::HashSet<u64>,
    uses: collections::HashMap<u64, u32>,
    order: collections::VecDeque<u64>,
    shared: collections::BTreeSet<u64>,
}

impl CacheMirror {
    /// Notes a prompt that was given to the engine.
    pub fn record_prompt(&mut self, blocks: &PrefixHashes) {
        for hash in blocks.hashes() {
            let uses = self.uses.entry(*hash).or_insert(0);
            *uses += 1;
            if *uses == 1 {
                self.order.push_back(*hash);
            }
            if *uses == SHARED && self.cached.contains(hash) {
                self.share(*hash);
            }
        }
        while self.order.len() > COUNTED {
            if let Some(old) = self.order.pop_front() {
                self.uses.remove(&old);
                self.shared.remove(&old);
            }
        }
    }

    /// Takes an event; what was missed before it must be read.
    pub fn apply_event(&mut self, event: &CacheEvent) -> SyncStatus {
        let Some(last) = self.seq else {
            return SyncStatus::EventsMissing;
        };
        if event.seq <= last {
            // It tells nothing that the reading did not.
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

    /// Takes a reading of the whole cache as of an event.
    pub fn load_snapshot(&mut self, seq: u64, blocks: impl IntoIterator<Item = u64>) {
        self.clear();
        self.seq = Some(seq);
        for hash in blocks {
            self.store(hash);
        }
    }

    /// Forgets all: the engine is gone or has not been heard.
    pub fn clear(&mut self) {
        self.seq = None;
        self.cached.clear();
        self.shared.clear();
    }

    /// Cached blocks that several prompts began with.
    pub fn shared_blocks(&self) -> &collections::BTreeSet<u64> {
        &self.shared
    }

    fn store(&mut self, hash: u64) {
        self.cached.insert(hash);
        if self.uses.get(&hash).is_some_and(|n| *n >= SHARED) {
            self.share(hash);
        }
    }

    fn share(&mut self, hash: u64) {
        if self.shared.len() < TOLD {
            self.shared.insert(hash);
        }
    }
}
