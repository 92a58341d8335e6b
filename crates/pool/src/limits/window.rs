//! Sums of amounts over a sliding time window.

use std::collections;
use std::time;

/// Amounts within this time of each other are added up in one step.
const STEP_LENGTH: time::Duration = time::Duration::from_millis(100);

/// A sum over a sliding window, kept in steps of a tenth of a second.
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

    /// Adds an amount at a time that may lie before that of other amounts.
    pub fn add_past(&mut self, amount: f64, at: time::Instant) {
        let index = self.steps.partition_point(|(start, _)| *start <= at);
        self.steps.insert(index, (at, amount));
        self.sum += amount;
    }

    /// Takes back an amount that was added at the time `at`. Returns false if it has
    /// left the window already, so that nothing changes.
    pub fn remove(&mut self, amount: f64, at: time::Instant) -> bool {
        let holding = self.steps.iter_mut().rev().find(|(start, _)| *start <= at);
        let Some((_, sum)) =
            holding.filter(|(start, _)| at.saturating_duration_since(*start) < STEP_LENGTH)
        else {
            return false;
        };
        *sum -= amount;
        self.sum -= amount;
        true
    }

    /// Takes back the newest amounts, up to `amount` together, and returns what is
    /// left of it.
    pub fn remove_newest(&mut self, amount: f64) -> f64 {
        let mut left = amount;
        for (_, sum) in self.steps.iter_mut().rev() {
            let taken = sum.min(left).max(0.0);
            *sum -= taken;
            self.sum -= taken;
            left -= taken;
        }
        left
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

    /// Returns the sum of the amounts that were added within `span` before now.
    pub fn recent(&self, span: time::Duration, now: time::Instant) -> f64 {
        let recent = self.ages(now).filter(|(age, _)| *age <= span);
        recent.map(|(_, amount)| amount).sum()
    }

    /// Returns the amounts in the window with the time since each was added.
    pub fn ages(&self, now: time::Instant) -> impl Iterator<Item = (time::Duration, f64)> + '_ {
        self.steps
            .iter()
            .map(move |(start, amount)| (now.saturating_duration_since(*start), *amount))
    }

    /// Returns when each amount leaves the window, the oldest first.
    pub fn departures(&self) -> impl Iterator<Item = (time::Instant, f64)> + '_ {
        let age = self.length + STEP_LENGTH;
        self.steps
            .iter()
            .map(move |(start, amount)| (*start + age, *amount))
    }
}
