//! Sums of amounts over a sliding time window.

use std::collections;
use std::time;

/// Amounts within this time of each other are added up in one step.
const STEP_LENGTH: time::Duration = time::Duration::from_millis(200);

/// A sum over a sliding window, kept in steps of a fifth of a second.
///
/// A step is dropped only when all of it has left the window, so that the sum
/// is never below the exact one.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    length: time::Duration,
    steps: collections::VecDeque<(time::Instant, f64)>,
    sum: f64,
}

impl SlidingWindow {
    /// Creates an empty window of the given length.
    pub fn new(length: time::Duration) -> Self {
        Self {
            length,
            steps: collections::VecDeque::new(),
            sum: 0.0,
        }
    }

    /// Adds an amount at the time `now`.
    pub fn add(&mut self, amount: f64, now: time::Instant) {
        self.sum += amount;
        match self.steps.back_mut() {
            Some((start, sum)) if now.saturating_duration_since(*start) < STEP_LENGTH => {
                *sum += amount
            }
            _ => self.steps.push_back((now, amount)),
        }
    }

    /// Returns the sum over the window that ends now.
    pub fn sum(&mut self, now: time::Instant) -> f64 {
        while let Some((start, amount)) = self.steps.front().copied() {
            if now.saturating_duration_since(start) <= self.length + STEP_LENGTH {
                break;
            }
            self.steps.pop_front();
            self.sum -= amount;
        }
        if self.steps.is_empty() {
            self.sum = 0.0;
        }
        self.sum
    }
}
