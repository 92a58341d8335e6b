//! Recently refused requests, and when their callers should retry.
//!
//! In a burst that exceeds the capacity, callers are refused and told when to
//! retry. Their retries are recognised by a digest of the request, and the retry
//! times are spread out so that there is room when each caller returns.

use std::collections;
use std::hash;
use std::time;

/// How long a refusal is remembered; callers retry within seconds.
const EXPIRY: time::Duration = time::Duration::from_secs(15);
/// The earliest retry after a refusal; bursts last some seconds.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(1_800);
/// Time between the retries of two callers: the interval at which a full pool
/// has room for another stream of one entry.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(150);

/// Refused requests, identified by a digest of type `D` of their content.
#[derive(Clone, Debug)]
pub struct RecentRefusals<D> {
    refused: collections::HashMap<D, time::Instant>,
    next_retry: Option<time::Instant>,
}

impl<D: Copy + Eq + hash::Hash> RecentRefusals<D> {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self {
            refused: collections::HashMap::new(),
            next_retry: None,
        }
    }

    /// Returns whether a request was refused recently, and removes it from the
    /// record, so that only its first retry is recognised.
    pub fn take_refusal(&mut self, digest: D, now: time::Instant) -> bool {
        let refused = self.refused.remove(&digest);
        refused.is_some_and(|at| now.saturating_duration_since(at) < EXPIRY)
    }

    /// Records a refused request and returns the delay after which its caller
    /// should retry, at most `max_delay`.
    pub fn record_refusal(
        &mut self,
        digest: D,
        max_delay: time::Duration,
        now: time::Instant,
    ) -> time::Duration {
        self.refused
            .retain(|_, at| now.saturating_duration_since(*at) < EXPIRY);
        self.refused.insert(digest, now);
        let earliest = now + MIN_RETRY_DELAY;
        let retry = self.next_retry.map_or(earliest, |n| n.max(earliest));
        let delay = retry.saturating_duration_since(now).min(max_delay);
        self.next_retry = Some(now + delay + RETRY_INTERVAL);
        delay
    }
}

impl<D: Copy + Eq + hash::Hash> Default for RecentRefusals<D> {
    fn default() -> Self {
        Self::new()
    }
}
