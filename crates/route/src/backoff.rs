//! Randomised exponential backoff, so that the processes of a fleet don't all
//! reconnect at the same moment after an outage.

use rand::Rng;
use std::time;

/// Exponential backoff with random waits between a tenth of the current limit and
/// the whole limit.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial: time::Duration,
    max: time::Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose limit is `initial` for the first wait, doubles with
    /// each failure and never exceeds `max`.
    pub fn new(initial: time::Duration, max: time::Duration) -> Self {
        Self {
            initial,
            max,
            failures: 0,
        }
    }

    /// Records a failure and returns the time to wait before the next attempt.
    pub fn next_wait(&mut self, random: &mut impl Rng) -> time::Duration {
        let doubled = self.initial.saturating_mul(1 << self.failures.min(16));
        let limit = doubled.min(self.max);
        self.failures += 1;
        limit.mul_f64(random.random_range(0.1..=1.0))
    }

    /// Resets the limit to its initial value after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
