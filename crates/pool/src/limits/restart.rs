//! What an entry that has restarted knows of the use before its restart.
//!
//! A restarted entry is told the history by a peer. If all entries restart at the same
//! time, nobody knows it, but the store names the organisations that were well ahead of
//! their rate; the others are assumed to have used their limit at their rate.

use crate::limits::charge::Allowance;
use crate::limits::charge::Tolerance;
use std::time;

/// How long a restarted entry admits nothing while it has heard neither from the
/// store nor from a peer.
const MAX_RESTART_WAIT: time::Duration = time::Duration::from_secs(1);
/// After this time a restarted entry has mostly heard from the store and from a peer.
const RESTART_RETRY_DELAY: time::Duration = time::Duration::from_millis(150);
/// Part of the tolerance that may be used while entries that restarted don't know
/// what was admitted.
const RESTART_TOLERANCE: f64 = 0.5;
/// By how many bursts an organisation may be ahead of its rate before the store keeps
/// its lead.
pub(crate) const MAX_UNKEPT_LEAD: u32 = 2;

/// State of an entry's knowledge of what all entries admitted within the window.
#[derive(Clone, Debug)]
pub(crate) struct RestartState {
    tolerance: Tolerance,
    restarted_at: Option<time::Instant>,
    /// Whether this entry knows what all entries admitted within the window.
    has_history: bool,
    /// When a peer told what was admitted before this entry's restart.
    told_at: Option<time::Instant>,
    /// Whether this entry has heard with whom it shares the allowances.
    pub(crate) knows_peers: bool,
    /// Whether this entry has read what the store keeps, after its restart.
    pub(crate) has_record: bool,
}

impl RestartState {
    /// Creates the state of an entry of a system that starts for the first time.
    pub(crate) fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            restarted_at: None,
            has_history: true,
            told_at: None,
            knows_peers: false,
            has_record: false,
        }
    }

    /// Records that this entry has restarted and does not know what was admitted
    /// before.
    pub(crate) fn record_restart(&mut self, now: time::Instant) {
        self.restarted_at = Some(now);
        self.has_history = false;
    }

    /// Records that a peer has told what was admitted.
    pub(crate) fn record_history(&mut self, now: time::Instant) {
        self.has_history = true;
        self.told_at = Some(now);
    }

    /// A restart that lies a whole window back no longer matters.
    pub(crate) fn expire(&mut self, now: time::Instant) {
        if self.time_since_restart(now).is_none() {
            self.has_history = true;
        }
    }

    /// Returns whether this entry knows what all entries admitted within the window.
    pub(crate) fn has_history(&self) -> bool {
        self.has_history
    }

    /// Returns the time since this entry's restart, or `None` once a whole
    /// window has passed since.
    pub(crate) fn time_since_restart(&self, now: time::Instant) -> Option<time::Duration> {
        let elapsed = now.saturating_duration_since(self.restarted_at?);
        (elapsed < self.tolerance.window).then_some(elapsed)
    }

    /// Returns whether a process that restarted the given time ago, if within the
    /// window, ran already when this entry was told what all had admitted.
    pub(crate) fn was_told_of(
        &self,
        since_restart: Option<time::Duration>,
        now: time::Instant,
    ) -> bool {
        let Some(told_at) = self.told_at else {
            return false;
        };
        since_restart.is_none_or(|s| now.checked_sub(s).is_some_and(|at| at < told_at))
    }

    /// Returns whether this entry waits to hear from the store and from a peer.
    fn is_waiting(&self, since_restart: time::Duration) -> bool {
        !(self.knows_peers && self.has_record) && since_restart < MAX_RESTART_WAIT
    }

    /// Returns the units that an organisation is assumed to have used before the
    /// entries' restarts; zero for an entry that knows what was admitted.
    ///
    /// Before the restart the organisation was ahead of its rate by `lead` bursts, as
    /// the store says, or by less than the store keeps. Together with that lead, it
    /// may use its rate and burst from then on, and a part of the tolerance.
    pub(crate) fn unknown_use(
        &self,
        allowance: &Allowance,
        lead: Option<u32>,
        now: time::Instant,
    ) -> f64 {
        if self.has_history {
            return 0.0;
        }
        let limit = allowance.limit;
        let since_restart = self.time_since_restart(now).unwrap_or_default();
        if self.is_waiting(since_restart) {
            return limit;
        }
        let tolerated = limit * self.tolerance.overage + self.tolerance.slack;
        let lead = f64::from(lead.unwrap_or(MAX_UNKEPT_LEAD)) * allowance.burst;
        let earned = allowance.rate * since_restart.as_secs_f64();
        let room = earned + allowance.burst + tolerated * RESTART_TOLERANCE - lead;
        limit - room.clamp(0.0, limit)
    }

    /// Returns how long an entry that doesn't know what was admitted before its restart
    /// will take to have room for `missing` units: until it hears, or by the rate.
    pub(crate) fn unknown_wait(
        &self,
        allowance: &Allowance,
        missing: f64,
        now: time::Instant,
    ) -> Option<time::Duration> {
        if self.has_history {
            return None;
        }
        let since_restart = self.time_since_restart(now)?;
        if self.is_waiting(since_restart) {
            return Some(RESTART_RETRY_DELAY);
        }
        let seconds = missing.max(0.0) / allowance.rate.max(1.0);
        let left = self.tolerance.window.saturating_sub(since_restart);
        Some(time::Duration::from_secs_f64(
            seconds.min(left.as_secs_f64()),
        ))
    }
}
