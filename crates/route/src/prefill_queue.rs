//! The order of prompts at one prefill engine.

use crate::urgency::Urgency;
use crate::wait_queue::Admission;
use crate::wait_queue::AttemptId;
use crate::wait_queue::WaitQueue;
use crate::wait_queue::Waiter;
use std::collections;
use std::time;

/// Speed assumed of an engine before any prefill was measured, in tokens per
/// second.
const FIRST_PACE: f64 = 8_000.0;
/// Weight of the newest measurement.
const PACE_WEIGHT: f64 = 0.2;
/// Prefills too short to tell the engine's speed from its overhead.
const MEASURED_TOKENS: u64 = 64;

/// The prompts that wait for one prefill engine and those it works on.
#[derive(Clone, Debug)]
pub struct PrefillQueue {
    width: usize,
    running: collections::BTreeMap<AttemptId, u64>,
    queue: WaitQueue<u64>,
    pace: f64,
    draining: bool,
}

impl PrefillQueue {
    /// Works on `width` prompts at a time.
    pub fn new(width: usize) -> Self {
        Self {
            width,
            running: collections::BTreeMap::new(),
            queue: WaitQueue::new(),
            pace: FIRST_PACE,
            draining: false,
        }
    }

    /// Takes a prompt; gives false where the engine is being emptied.
    pub fn enqueue(&mut self, attempt: AttemptId, tokens: u64, urgency: Urgency) -> bool {
        if self.draining {
            return false;
        }
        let lead_time = time::Duration::from_secs_f64(tokens as f64 / self.pace);
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

    /// Starts what can start now.
    pub fn start_next(&mut self, now: time::Instant) -> Vec<AttemptId> {
        let mut started = Vec::new();
        while self.running.len() < self.width {
            // Each that waits holds a decode seat meanwhile, so the shortest
            // goes first among those that can still come in time.
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

    /// Ends a prompt in any state; tells whether the engine was working on it.
    pub fn remove(&mut self, attempt: AttemptId) -> bool {
        self.queue.remove(attempt);
        self.running.remove(&attempt).is_some()
    }

    /// Learns the engine's speed from a finished prefill of fresh tokens.
    pub fn record_prefill(&mut self, fresh: u64, took: time::Duration) {
        if fresh < MEASURED_TOKENS || took.is_zero() {
            return;
        }
        let pace = fresh as f64 / took.as_secs_f64();
        self.pace += PACE_WEIGHT * (pace - self.pace);
    }

    /// Takes no prompts from now on; gives those that wait, to be refused.
    pub fn drain(&mut self) -> Vec<AttemptId> {
        self.draining = true;
        self.take_waiting()
    }

    /// Gives up the prompts that wait, to be sent elsewhere.
    pub fn take_waiting(&mut self) -> Vec<AttemptId> {
        self.queue.clear()
    }

    /// Tokens that wait or are being worked on.
    pub fn backlog_tokens(&self) -> u64 {
        let waiting: u64 = self.queue.iter().map(|w| w.need).sum();
        waiting + self.running.values().sum::<u64>()
    }

    /// Measured speed, in tokens per second.
    pub fn token_rate(&self) -> f64 {
        self.pace
    }
}
