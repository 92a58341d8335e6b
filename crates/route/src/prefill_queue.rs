//! The queue of prompts at one prefill engine.

use crate::urgency::Urgency;
use crate::wait_queue::Admission;
use crate::wait_queue::AttemptId;
use crate::wait_queue::WaitQueue;
use crate::wait_queue::Waiter;
use std::collections;
use std::time;

/// Prefill rate assumed before the first measurement, in tokens per second.
const INITIAL_RATE: f64 = 8_000.0;
/// Weight of the newest measurement in the moving average.
const NEW_WEIGHT: f64 = 0.2;
/// Smallest prefill, in uncached tokens, that is measured; in shorter ones the
/// engine's overhead dominates.
const MIN_MEASURED_TOKENS: u64 = 64;

/// Waiting and running prompts of one prefill engine.
#[derive(Clone, Debug)]
pub struct PrefillQueue {
    concurrency: usize,
    /// Uncached tokens of each running prompt.
    running: collections::BTreeMap<AttemptId, u64>,
    queue: WaitQueue<u64>,
    /// Moving average of the prefill rate, in tokens per second.
    token_rate: f64,
    draining: bool,
}

impl PrefillQueue {
    /// Creates a queue that runs up to `concurrency` prompts at a time.
    pub fn new(concurrency: usize) -> Self {
        Self {
            concurrency,
            running: collections::BTreeMap::new(),
            queue: WaitQueue::new(),
            token_rate: INITIAL_RATE,
            draining: false,
        }
    }

    /// Adds a prompt of `tokens` uncached tokens. Returns false while draining.
    pub fn enqueue(&mut self, attempt: AttemptId, tokens: u64, urgency: Urgency) -> bool {
        if self.draining {
            return false;
        }
        let lead_time = time::Duration::from_secs_f64(tokens as f64 / self.token_rate);
        self.queue.push(
            attempt,
            Urgency {
                lead_time,
                ..urgency
            },
            tokens,
        );
        true
    }

    /// Starts as many prompts as the engine has room for and returns them.
    pub fn start_next(&mut self, now: time::Instant) -> Vec<AttemptId> {
        let mut started = Vec::new();
        while self.running.len() < self.concurrency {
            // Every waiting prompt already holds a decode seat, so the shortest
            // goes first within its band. Without a deadline, the first to arrive
            // does.
            let rank = |w: &Waiter<u64>| match w.urgency.has_no_deadline(now) {
                true => (w.urgency.band(now), 0),
                false => (w.urgency.band(now), w.need),
            };
            let Some(waiter) = self.queue.take_first(rank, |_| Admission::Now) else {
                break;
            };
            self.running.insert(waiter.attempt, waiter.need);
            started.push(waiter.attempt);
        }
        started
    }

    /// Removes a prompt in any state. Returns whether it was running.
    pub fn remove(&mut self, attempt: AttemptId) -> bool {
        self.queue.remove(attempt);
        self.running.remove(&attempt).is_some()
    }

    /// Updates the prefill rate from a finished prefill of `uncached` tokens.
    pub fn record_prefill(&mut self, uncached: u64, took: time::Duration) {
        if uncached < MIN_MEASURED_TOKENS || took.is_zero() {
            return;
        }
        let rate = uncached as f64 / took.as_secs_f64();
        self.token_rate += NEW_WEIGHT * (rate - self.token_rate);
    }

    /// Refuses prompts from now on. Removes and returns the waiting ones, which the
    /// caller has to refuse.
    pub fn drain(&mut self) -> Vec<AttemptId> {
        self.draining = true;
        self.take_waiting()
    }

    /// Removes and returns the waiting prompts, to be sent elsewhere.
    pub fn take_waiting(&mut self) -> Vec<AttemptId> {
        self.queue.take_all()
    }

    /// Uncached tokens of all waiting and running prompts.
    pub fn backlog_tokens(&self) -> u64 {
        let waiting: u64 = self.queue.iter().map(|w| w.need).sum();
        waiting + self.running.values().sum::<u64>()
    }

    /// Measured prefill rate, in tokens per second.
    pub fn token_rate(&self) -> f64 {
        self.token_rate
    }
}
