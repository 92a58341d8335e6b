//! A bound on retries, so that a failure never becomes a surge.

use std::time;

/// Retries for each first attempt that are allowed for one cause.
const RETRY_RATIO: f64 = 0.1;
/// Retries of one cause that are allowed at once, and after a quiet time.
const RETRY_BURST: f64 = 10.0;
/// Retries of one cause that are allowed each second whatever the traffic.
const RETRY_RATE: f64 = 1.0;

/// Why work is done again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RetryCause {
    /// A prefill or its agent was lost.
    Prefill,
    /// A transfer stalled or came too late.
    Transfer,
    /// A stream broke.
    Stream,
}

impl RetryCause {
    const ALL: usize = 3;
}

/// Bounds retries by first attempts, for each cause apart, so that they never
/// make a surge. Each entry's own share keeps the fleet's sum in bounds.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    levels: [f64; RetryCause::ALL],
    at: time::Instant,
}

impl RetryBudget {
    /// Begins full.
    pub fn new(now: time::Instant) -> Self {
        Self {
            levels: [RETRY_BURST; RetryCause::ALL],
            at: now,
        }
    }

    /// Notes a first attempt.
    pub fn record_attempt(&mut self) {
        self.add(RETRY_RATIO);
    }

    /// Takes one retry; where it is refused, the work waits and asks again.
    pub fn try_retry(&mut self, cause: RetryCause, now: time::Instant) -> bool {
        let gone = now.saturating_duration_since(self.at);
        self.at = self.at.max(now);
        self.add(RETRY_RATE * gone.as_secs_f64());
        let level = &mut self.levels[cause as usize];
        if *level < 1.0 {
            return false;
        }
        *level -= 1.0;
        true
    }

    fn add(&mut self, amount: f64) {
        for level in &mut self.levels {
            *level = (*level + amount).min(RETRY_BURST);
        }
    }
}
