//! Waits between retries, drawn at random so that a fleet does not return to
//! what it lost all at once.

use rand::Rng;
use std::time;

/// Exponential waits with full jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: time::Duration,
    most: time::Duration,
    failures: u32,
}

impl Backoff {
    /// Waits between nothing and `first` at first, and `most` at last.
    pub fn new(first: time::Duration, most: time::Duration) -> Self {
        Self {
            first,
            most,
            failures: 0,
        }
    }

    /// Draws the wait after one more failure.
    pub fn next_wait(&mut self, random: &mut impl Rng) -> time::Duration {
        let doubled = self.first.saturating_mul(1 << self.failures.min(16));
        let ceiling = doubled.min(self.most);
        self.failures += 1;
        ceiling.mul_f64(random.random_range(0.1..=1.0))
    }

    /// Starts anew after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
