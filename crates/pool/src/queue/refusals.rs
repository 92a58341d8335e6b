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
/// How long peers are told of a refusal, which is that of a few messages.
const TELL_TIME: time::Duration = time::Duration::from_millis(1_000);
/// Number of refusals that are remembered.
const MAX_REFUSED: usize = 20_000;
/// The earliest retry after a refusal; bursts last some seconds.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(1_800);
/// Time between the retries of two callers: the interval at which a full pool
/// has room for another stream of one entry.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(150);

/// Refused requests, identified by a digest of type `D` of their content.
#[derive(Clone, Debug)]
pub struct RecentRefusals<D> {
    refused: collections::HashMap<D, Refused>,
    next_retry: Option<time::Instant>,
}

/// A refused request.
#[derive(Clone, Copy, Debug)]
struct Refused {
    at: time::Instant,
    /// When its caller asked first.
    first_at: time::Instant,
    /// Whether this entry refused it.
    is_own: bool,
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
        self.take_first(digest, now).is_some()
    }

    /// Does the same, and returns when the caller asked first.
    pub fn take_first(&mut self, digest: D, now: time::Instant) -> Option<time::Instant> {
        let refused = self.refused.remove(&digest)?;
        let age = now.saturating_duration_since(refused.at);
        (age < EXPIRY).then_some(refused.first_at)
    }

    /// Returns the requests that this entry has refused within the last moment, for its peers,
    /// with the time since their callers asked first.
    pub fn recent(&self, now: time::Instant) -> Vec<(D, time::Duration)> {
        let age = |at: time::Instant| now.saturating_duration_since(at);
        let own = self.refused.iter();
        let own = own.filter(|(_, r)| r.is_own && age(r.at) < TELL_TIME);
        own.map(|(digest, r)| (*digest, age(r.first_at))).collect()
    }

    /// Records a request that a peer has refused, whose caller asked first so long ago.
    pub fn record_peer(&mut self, digest: D, age: time::Duration, now: time::Instant) {
        let first_at = now.checked_sub(age).filter(|_| age < EXPIRY);
        let Some(first_at) = first_at.filter(|_| self.refused.len() < MAX_REFUSED) else {
            return;
        };
        self.refused.entry(digest).or_insert(Refused {
            at: now,
            first_at,
            is_own: false,
        });
    }

    /// Records a refused request and returns the delay after which its caller
    /// should retry, at most `max_delay`.
    pub fn record_refusal(
        &mut self,
        digest: D,
        max_delay: time::Duration,
        now: time::Instant,
    ) -> time::Duration {
        let pace = (time::Duration::ZERO, RETRY_INTERVAL);
        self.record_paced(digest, now, pace, max_delay, now)
    }

    /// Does the same for a caller that asked first at `first_at`, where the earliest return and
    /// the time between two returns to this entry are known from what waits at all entries.
    pub fn record_paced(
        &mut self,
        digest: D,
        first_at: time::Instant,
        (first, interval): (time::Duration, time::Duration),
        max_delay: time::Duration,
        now: time::Instant,
    ) -> time::Duration {
        self.refused
            .retain(|_, r| now.saturating_duration_since(r.at) < EXPIRY);
        let refused = Refused {
            at: now,
            first_at,
            is_own: true,
        };
        self.refused.insert(digest, refused);
        let earliest = now + MIN_RETRY_DELAY.max(first);
        let retry = self.next_retry.map_or(earliest, |n| n.max(earliest));
        let delay = retry.saturating_duration_since(now).min(max_delay);
        self.next_retry = Some(now + delay + interval);
        delay
    }
}

impl<D: Copy + Eq + hash::Hash> Default for RecentRefusals<D> {
    fn default() -> Self {
        Self::new()
    }
}
