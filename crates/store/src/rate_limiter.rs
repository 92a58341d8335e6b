//! Rate limit on the store calls of a process.

use std::time;

/// A token bucket with one token for each call.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled: Option<time::Instant>,
}

impl RateLimiter {
    /// Creates a full bucket that allows `rate` calls per second and bursts of
    /// `burst` calls.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            refilled: None,
        }
    }

    /// Takes the token for one call; returns false if there is none.
    pub fn try_acquire(&mut self, now: time::Instant) -> bool {
        let elapsed = self.refilled.map_or(time::Duration::ZERO, |refilled| {
            now.saturating_duration_since(refilled)
        });
        self.refilled = Some(now);
        self.tokens = (self.tokens + self.rate * elapsed.as_secs_f64()).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
