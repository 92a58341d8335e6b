//! Detects that this process was paused; see docs/DESIGN.md, "Membership".

use std::time;

/// Detects pauses of the process by the time between its ticks.
///
/// During a pause, other processes may have replaced the leases and data that this
/// process relies on. It makes no decisions until it has checked them.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    last_tick: time::Instant,
    /// Whether there was a pause since the last check.
    unchecked: bool,
}

impl PauseDetector {
    /// Interval at which the process ticks.
    pub const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);
    /// A gap between two ticks that is longer than this counts as a pause.
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

    /// Records that leases and data have been checked since the last pause.
    pub fn mark_checked(&mut self) {
        self.unchecked = false;
    }

    /// Returns whether decisions may be made: leases and data have been checked
    /// since the last pause, and the last tick is recent enough to rule out another
    /// pause.
    pub fn may_decide(&self, now: time::Instant) -> bool {
        !self.unchecked && now.saturating_duration_since(self.last_tick) <= Self::MIN_PAUSE
    }
}
