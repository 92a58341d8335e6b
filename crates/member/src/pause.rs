//! Detects pauses of this process; see docs/DESIGN.md, "Membership".

use std::time;

/// Detects that the process was paused, by the ticks it has missed.
///
/// After a pause, the process may still rely on leases and data that others have
/// replaced meanwhile. It makes no decisions before it has checked them.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    last_tick: time::Instant,
    unchecked: bool,
}

impl PauseDetector {
    /// Interval at which the process ticks.
    pub const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);
    /// A longer gap between two ticks counts as a pause.
    pub const MIN_PAUSE: time::Duration = time::Duration::from_millis(1_500);

    /// Starts at the time of the first tick.
    pub fn new(now: time::Instant) -> Self {
        Self {
            last_tick: now,
            unchecked: false,
        }
    }

    /// Records a tick, and returns whether it reveals a pause.
    pub fn tick(&mut self, now: time::Instant) -> bool {
        let paused = now.saturating_duration_since(self.last_tick) > Self::MIN_PAUSE;
        self.last_tick = self.last_tick.max(now);
        self.unchecked |= paused;
        paused
    }

    /// Records that epoch and configuration have been checked since the pause.
    pub fn mark_checked(&mut self) {
        self.unchecked = false;
    }

    /// Returns whether decisions may be made: everything has been checked since
    /// the last pause, and there is no pause that the next tick will reveal.
    pub fn may_decide(&self, now: time::Instant) -> bool {
        !self.unchecked && now.saturating_duration_since(self.last_tick) <= Self::MIN_PAUSE
    }
}
