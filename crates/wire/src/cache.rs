//! What an engine has cached, told to entries as sequenced deltas.
//!
//! As with load, changes are pushed and a gap leads to a new, full report; see
//! docs/DESIGN.md, "Cache events".

use crate::border;
use std::collections;

/// The sending end of one subscription.
#[derive(Debug, Default)]
pub struct CacheReporter {
    seq: u64,
    told: collections::BTreeSet<u64>,
}

impl CacheReporter {
    /// Writes what changed since the last report; none where nothing did. The
    /// first is full.
    pub fn next_report(&mut self, now: &collections::BTreeSet<u64>) -> Option<border::Cache> {
        let full = self.seq == 0;
        let report = border::Cache {
            seq: self.seq + 1,
            full,
            added: now.difference(&self.told).map(|h| write(*h)).collect(),
            removed: self.told.difference(now).map(|h| write(*h)).collect(),
        };
        if !full && report.added.is_empty() && report.removed.is_empty() {
            return None;
        }
        self.seq = report.seq;
        self.told.clone_from(now);
        Some(report)
    }
}

/// Blocks that a report adds and removes.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct CacheDelta {
    /// Blocks that are cached now.
    pub added: Vec<u64>,
    /// Blocks that are cached no more.
    pub removed: Vec<u64>,
}

/// The receiving end of one subscription.
#[derive(Debug, Default)]
pub struct CacheReceiver {
    seq: u64,
}

impl CacheReceiver {
    /// Takes a report; none where one before it is missing or it is damaged, so
    /// that the subscription must be opened anew.
    pub fn apply(&mut self, report: &border::Cache) -> Option<CacheDelta> {
        if !report.full && report.seq != self.seq + 1 {
            return None;
        }
        self.seq = report.seq;
        let read = |all: &[String]| all.iter().map(|h| parse(h)).collect::<Option<Vec<u64>>>();
        Some(CacheDelta {
            added: read(&report.added)?,
            removed: read(&report.removed)?,
        })
    }
}

fn write(hash: u64) -> String {
    format!("{hash:x}")
}

fn parse(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
