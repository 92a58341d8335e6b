//! Sums over the last seconds.

use std::collections;
use std::time;

/// Time that is counted as one step.
const STEP: time::Duration = time::Duration::from_millis(200);

/// A sum over a sliding window, in steps of a fifth of a second.
///
/// A step is dropped only when all of it has left the window, so that the sum
/// is never below the true one.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    span: time::Duration,
    steps: collections::VecDeque<(time::Instant, f64)>,
    sum: f64,
}

impl SlidingWindow {
    /// Begins empty.
    pub fn new(span: time::Duration) -> Self {
        Self {
            span,
            steps: collections::VecDeque::new(),
            sum: 0.0,
        }
    }

    /// Adds an amount.
    pub fn add(&mut self, amount: f64, now: time::Instant) {
        self.sum += amount;
        match self.steps.back_mut() {
            Some((began, sum)) if now.saturating_duration_since(*began) < STEP => *sum += amount,
            _ => self.steps.push_back((now, amount)),
        }
    }

    /// The sum over the window that ends now.
    pub fn sum(&mut self, now: time::Instant) -> f64 {
        while let Some((began, amount)) = self.steps.front().copied() {
            if now.saturating_duration_since(began) <= self.span + STEP {
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
