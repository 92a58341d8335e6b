//! The pace of one host that has less than its full share of work.

use std::cell;
use std::collections;
use std::time;
use world::Name;

/// Shortest time between two reductions of a window, so that answers to one crowd of requests
/// count once.
const MIN_CUT_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Part of a declared rate that entries use where each of them sends.
const USED_SHARE: f64 = 0.8;
/// Where only some entries send, others may take themselves for these: so many times as many
/// may send at a time.
const VIEWS: f64 = 2.0;
/// Time between two requests of an entry that may send one a second.
pub(crate) const FULL_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// A host has its full share this long after it has started or was last unreachable: by then,
/// what it refuses is no matter of its start.
const MAX_PACE: time::Duration = time::Duration::from_secs(5);

/// How a host answered a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerQuality {
    /// It ran the request, or granted what was asked for.
    Good,
    /// It has no room.
    Refused,
    /// No connection to it could be opened.
    Unreachable,
    /// Nothing follows for its pace.
    Unclear,
}

/// A host's declared bound while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRate {
    /// Requests a second that it tolerates from all entries together.
    pub per_s: f64,
}

/// A host that has less than its full share of work.
#[derive(Clone, Debug)]
pub(crate) struct HostPace {
    pub(crate) began_at: time::Instant,
    /// When it started, or a connection to it last failed.
    pub(crate) lost_at: time::Instant,
    /// Requests in flight at which the host has its full share; none if only time ends its pace.
    pub(crate) full: Option<f64>,
    /// The most requests in flight that all entries together may have.
    pub(crate) most: f64,
    /// Requests in flight that all entries together may have; none where only the declared
    /// bound holds.
    pub(crate) window: Option<f64>,
    pub(crate) cut_at: Option<time::Instant>,
    pub(crate) in_flight: u32,
    pub(crate) good: u64,
    pub(crate) cuts: u64,
    /// What the peers have told last.
    pub(crate) peers: collections::BTreeMap<Name, (u64, u64)>,
    pub(crate) cold: Option<Cold>,
    pub(crate) last_sent: Option<time::Instant>,
    /// Turn and generation of the entries for which the rank was found, and the rank.
    pub(crate) rank: cell::Cell<Option<(u64, u64, usize)>>,
}

/// A host that is cold until a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cold {
    pub(crate) until: time::Instant,
    pub(crate) rate: ColdRate,
}

impl HostPace {
    pub(crate) fn new(member: &seam::Member, window: Option<f64>, now: time::Instant) -> Self {
        Self {
            began_at: now,
            lost_at: now,
            full: Some(f64::from(member.slots.max(1))),
            most: f64::from(member.slots.max(1)),
            window,
            cut_at: None,
            in_flight: 0,
            good: 0,
            cuts: 0,
            peers: collections::BTreeMap::new(),
            cold: None,
            last_sent: None,
            rank: cell::Cell::new(None),
        }
    }

    pub(crate) fn widen(&mut self, by: f64) {
        if let Some(window) = self.window.as_mut().filter(|_| by > 0.0) {
            *window = (*window + by).min(self.most);
        }
    }

    /// Halves the window, once for the answers of a moment; returns whether it did.
    pub(crate) fn cut(&mut self, now: time::Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < MIN_CUT_INTERVAL;
        if self.cut_at.is_some_and(is_recent) {
            return false;
        }
        let Some(window) = self.window.as_mut() else {
            return false;
        };
        *window = (*window / 2.0).max(1.0);
        self.cut_at = Some(now);
        true
    }

    pub(crate) fn is_kept(&self, now: time::Instant) -> bool {
        let is_cold = self.cold.is_some_and(|c| c.until > now);
        let is_recent = now.saturating_duration_since(self.lost_at) < MAX_PACE;
        let is_partial = |window: f64| self.full.is_none_or(|full| window < full);
        is_cold || is_recent && self.window.is_some_and(is_partial)
    }
}

impl ColdRate {
    /// Returns how many of so many entries send, and the least time between two requests of
    /// each.
    pub(crate) fn parts(self, entries: usize) -> (usize, time::Duration) {
        let each = (self.per_s * USED_SHARE / entries.max(1) as f64).floor();
        if each >= 1.0 {
            return (entries, time::Duration::from_secs_f64(1.0 / each));
        }
        let senders = (self.per_s / VIEWS).floor();
        match senders >= 1.0 {
            true => (senders as usize, FULL_INTERVAL),
            false => (1, FULL_INTERVAL.div_f64((self.per_s / VIEWS).max(0.01))),
        }
    }
}
