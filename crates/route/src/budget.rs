//! A retry budget, which keeps a failure from turning into a surge of retries.

use std::time;

/// Retries that each first attempt adds to the budget of every cause.
const RETRIES_PER_ATTEMPT: f64 = 0.1;
/// Largest budget of one cause: the retries it can make in a burst.
const MAX_RETRY_BURST: f64 = 10.0;
/// Retries per second that every cause gets regardless of the traffic.
const RETRIES_PER_SECOND: f64 = 1.0;

/// Reason for a retry; each has a budget of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RetryCause {
    /// A prefill failed or its agent was lost.
    Prefill,
    /// A KV cache transfer stalled or its source had expired.
    Transfer,
    /// A token stream broke off.
    Stream,
}

impl RetryCause {
    const COUNT: usize = 3;
}

/// Token buckets that limit retries to a fraction of first attempts, one bucket
/// for each cause.
///
/// Each entry limits its own retries, which bounds their sum over all entries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    budgets: [f64; RetryCause::COUNT],
    updated: time::Instant,
}

impl RetryBudget {
    /// Creates a budget with full buckets.
    pub fn new(now: time::Instant) -> Self {
        Self {
            budgets: [MAX_RETRY_BURST; RetryCause::COUNT],
            updated: now,
        }
    }

    /// Records a first attempt, which adds to the budget of every cause.
    pub fn record_attempt(&mut self) {
        self.refill(RETRIES_PER_ATTEMPT);
    }

    /// Takes one retry from the budget of `cause`. Returns false if none is left;
    /// the caller then waits and asks again.
    pub fn try_retry(&mut self, cause: RetryCause, now: time::Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.updated);
        self.updated = self.updated.max(now);
        self.refill(RETRIES_PER_SECOND * elapsed.as_secs_f64());
        let budget = &mut self.budgets[cause as usize];
        if *budget < 1.0 {
            return false;
        }
        *budget -= 1.0;
        true
    }

    fn refill(&mut self, amount: f64) {
        for budget in &mut self.budgets {
            *budget = (*budget + amount).min(MAX_RETRY_BURST);
        }
    }
}
