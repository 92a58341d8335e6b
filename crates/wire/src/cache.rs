//! Reports of an engine's prefix cache to entries, as sequenced deltas.
//!
//! As with load reports, changes are pushed, and a receiver that notices a gap
//! subscribes again to get a full report; see docs/DESIGN.md, "Cache events".

use crate::border;
use std::collections;

/// Creates the cache reports of one subscription.
#[derive(Debug, Default)]
pub struct CacheReporter {
    seq: u64,
    reported: collections::BTreeSet<u64>,
}

impl CacheReporter {
    /// Returns a report of the changes since the last one, or `None` if nothing has
    /// changed. The first report contains all cached blocks.
    pub fn next_report(&mut self, current: &collections::BTreeSet<u64>) -> Option<border::Cache> {
        let full = self.seq == 0;
        let report = border::Cache {
            seq: self.seq + 1,
            full,
            added: current
                .difference(&self.reported)
                .map(|h| format_hash(*h))
                .collect(),
            removed: self
                .reported
                .difference(current)
                .map(|h| format_hash(*h))
                .collect(),
        };
        if !full && report.added.is_empty() && report.removed.is_empty() {
            return None;
        }
        self.seq = report.seq;
        self.reported.clone_from(current);
        Some(report)
    }
}

/// The changes in one cache report, by the hashes of blocks.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct CacheDelta {
    /// The blocks that are now cached.
    pub added: Vec<u64>,
    /// The blocks that are no longer cached.
    pub removed: Vec<u64>,
}

/// Applies the cache reports of one subscription in order.
#[derive(Debug, Default)]
pub struct CacheReceiver {
    seq: u64,
}

impl CacheReceiver {
    /// Returns the changes in a report, or `None` if an earlier report is missing or
    /// a hash is invalid, so that the caller must subscribe again.
    pub fn apply(&mut self, report: &border::Cache) -> Option<CacheDelta> {
        if !report.full && report.seq != self.seq + 1 {
            return None;
        }
        self.seq = report.seq;
        let parse_all = |hashes: &[String]| {
            hashes
                .iter()
                .map(|h| parse_hash(h))
                .collect::<Option<Vec<u64>>>()
        };
        Some(CacheDelta {
            added: parse_all(&report.added)?,
            removed: parse_all(&report.removed)?,
        })
    }
}

fn format_hash(hash: u64) -> String {
    format!("{hash:x}")
}

fn parse_hash(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
