//! A process's watch on its own pauses; see docs/DESIGN.md, "Membership".

use std::time;

/// Notices that the process was paused, by the ticks it missed.
///
/// A process that slept may hold leases and views that others have given up,
/// so it decides nothing before it has checked them.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    last: time::Instant,
    asleep: bool,
}

impl PauseDetector {
    /// How often a process ticks.
    pub const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);
    /// A gap between ticks that counts as a pause.
    pub const MIN_PAUSE: time::Duration = time::Duration::from_millis(1_500);

    /// Begins to count.
    pub fn new(now: time::Instant) -> Self {
        Self {
            last: now,
            asleep: false,
        }
    }

    /// Notes a tick; tells whether a pause was just found.
    pub fn tick(&mut self, now: time::Instant) -> bool {
        let paused = now.saturating_duration_since(self.last) > Self::MIN_PAUSE;
        self.last = self.last.max(now);
        self.asleep |= paused;
        paused
    }

    /// Notes that epoch and configuration have been checked since the pause.
    pub fn clear(&mut self) {
        self.asleep = false;
    }

    /// Tells whether decisions must wait, also before the tick that will find
    /// the pause.
    pub fn is_awake(&self, now: time::Instant) -> bool {
        !self.asleep && now.saturating_duration_since(self.last) <= Self::MIN_PAUSE
    }
}
