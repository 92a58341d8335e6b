//! A bound on the calls that a process makes.

use std::time;

/// A token bucket of calls.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    rate: f64,
    burst: f64,
    level: f64,
    at: Option<time::Instant>,
}

impl RateLimiter {
    /// Allows `rate` calls a second and `burst` calls at once.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            at: None,
        }
    }

    /// Takes one call; gives false where the budget is spent.
    pub fn try_acquire(&mut self, now: time::Instant) -> bool {
        let gone = self
            .at
            .map_or(time::Duration::ZERO, |at| now.saturating_duration_since(at));
        self.at = Some(now);
        self.level = (self.level + self.rate * gone.as_secs_f64()).min(self.burst);
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
