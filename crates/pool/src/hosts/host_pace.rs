//! The pace of one host that has less than its full share of work.

use std::cell;
use std::collections;
use std::time;
use world::Name;

/// Shortest time between two reductions of a window, so that answers to one crowd of requests
/// count once.
const MIN_CUT_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Number of entries that send to a cold host.
const COLD_SENDERS: usize = 3;
/// Entries may disagree on who sends; this many times as many may do so at a time.
const COLD_VIEWS: usize = 2;
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
    /// Requests in flight at which the host has its full share.
    pub(crate) full: f64,
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
            full: f64::from(member.slots.max(1)),
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
            *window = (*window + by).min(self.full);
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
        is_cold || is_recent && self.window.is_some_and(|w| w < self.full)
    }
}

impl ColdRate {
    /// Returns how many entries send, and the least time between two requests of each, so
    /// that the sum keeps the rate also where entries disagree on who sends.
    pub(crate) fn parts(self) -> (usize, time::Duration) {
        let parts = |senders: usize| (self.per_s / (senders * COLD_VIEWS) as f64).floor();
        let senders = match parts(COLD_SENDERS) >= 1.0 {
            true => COLD_SENDERS,
            false => 1,
        };
        let per_s = match parts(senders) {
            whole if whole >= 1.0 => whole,
            _ => (self.per_s / COLD_VIEWS as f64).max(0.01),
        };
        (senders, time::Duration::from_secs_f64(1.0 / per_s))
    }
}
