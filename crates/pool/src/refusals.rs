//! Who was refused and may come back.
//!
//! Answers a burst beyond capacity: callers that were told to come back are
//! known again by what they ask, and are told times at which there is room, one
//! after the other.

use std::collections;
use std::hash;
use std::time;

/// How long a refusal is remembered: callers come back within seconds.
const MEMORY: time::Duration = time::Duration::from_secs(15);
/// The earliest return: bursts last some seconds.
const FIRST_RETURN: time::Duration = time::Duration::from_millis(1_800);
/// Time between two returns, by the rate at which one entry's share of a full
/// pool comes free.
const RETURN_GAP: time::Duration = time::Duration::from_millis(150);

/// Refused work, by a digest of what was asked.
#[derive(Clone, Debug)]
pub struct RecentRefusals<D> {
    refused: collections::HashMap<D, time::Instant>,
    next: Option<time::Instant>,
}

impl<D: Copy + Eq + hash::Hash> RecentRefusals<D> {
    /// Begins with nobody refused.
    pub fn new() -> Self {
        Self {
            refused: collections::HashMap::new(),
            next: None,
        }
    }

    /// Tells whether work was refused lately; it counts as back from then on.
    pub fn take_refusal(&mut self, digest: D, now: time::Instant) -> bool {
        let refused = self.refused.remove(&digest);
        refused.is_some_and(|at| now.saturating_duration_since(at) < MEMORY)
    }

    /// Notes a refusal; gives when to come back, at most after `most`.
    pub fn record_refusal(
        &mut self,
        digest: D,
        most: time::Duration,
        now: time::Instant,
    ) -> time::Duration {
        self.refused
            .retain(|_, at| now.saturating_duration_since(*at) < MEMORY);
        self.refused.insert(digest, now);
        let earliest = now + FIRST_RETURN;
        let at = self.next.map_or(earliest, |n| n.max(earliest));
        let wait = at.saturating_duration_since(now).min(most);
        self.next = Some(now + wait + RETURN_GAP);
        wait
    }
}

impl<D: Copy + Eq + hash::Hash> Default for RecentRefusals<D> {
    fn default() -> Self {
        Self::new()
    }
}
