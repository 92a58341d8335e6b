//! Logs records in the store that can't be decoded, once each.
//!
//! Another writer may leave any bytes there. Entries read the lists several times a second,
//! so a line for each read would hide the others.

use crate::meters;
use std::collections;
use std::hash;
use std::hash::Hash;
use std::hash::Hasher;

/// Number of odd records that are remembered. Once there are more, they are logged anew.
const MAX_KNOWN: usize = 1_024;
/// Number of lines for one read; the others are only counted.
const MAX_LINES: usize = 16;
/// Length of a key or a fault in the log, in characters: both may hold what was written.
const MAX_TEXT_CHARS: usize = 200;

/// A record that can't be decoded.
#[derive(Debug)]
pub(crate) struct OddRecord<'a> {
    pub(crate) key: &'a str,
    pub(crate) value: &'a [u8],
    pub(crate) fault: String,
}

/// The odd records that have been logged.
#[derive(Debug, Default)]
pub(crate) struct OddRecords {
    known: collections::BTreeSet<u64>,
}

impl OddRecords {
    /// Logs those of the records of one read that were not logged yet, as `event`.
    pub(crate) fn log(&mut self, event: &'static str, from: &str, records: &[OddRecord<'_>]) {
        let new: Vec<&OddRecord> = records.iter().filter(|r| self.is_new(r)).collect();
        meters::meters().unreadable.increment(new.len() as u64);
        for record in new.iter().take(MAX_LINES) {
            trace::LogLine::new(event)
                .with("key", shorten(record.key))
                .with("from", from)
                .with("bytes", record.value.len())
                .with("fault", shorten(&record.fault))
                .warn();
        }
        if new.len() > MAX_LINES {
            trace::LogLine::new(event)
                .with("from", from)
                .with("more", new.len() - MAX_LINES)
                .warn();
        }
    }

    /// Records that a record was seen; returns whether that is the first time.
    fn is_new(&mut self, record: &OddRecord<'_>) -> bool {
        let mut hasher = hash::DefaultHasher::new();
        (record.key, record.value).hash(&mut hasher);
        let digest = hasher.finish();
        if self.known.contains(&digest) {
            return false;
        }
        if self.known.len() >= MAX_KNOWN {
            self.known.clear();
        }
        self.known.insert(digest)
    }
}

fn shorten(text: &str) -> String {
    text.chars().take(MAX_TEXT_CHARS).collect()
}
