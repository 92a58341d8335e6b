//! The order of prompts at one prefill engine.

use crate::line::Fit;
use crate::line::Line;
use crate::line::Ticket;
use crate::line::Waiter;
use crate::urgency::Urgency;
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
pub struct Lane {
    width: usize,
    running: collections::BTreeMap<Ticket, u64>,
    line: Line<u64>,
    pace: f64,
    draining: bool,
}

impl Lane {
    /// Works on `width` prompts at a time.
    pub fn new(width: usize) -> Self {
        Self {
            width,
            running: collections::BTreeMap::new(),
            line: Line::new(),
            pace: FIRST_PACE,
            draining: false,
        }
    }

    /// Takes a prompt; gives false where the engine is being emptied.
    pub fn join(&mut self, ticket: Ticket, tokens: u64, urgency: Urgency) -> bool {
        if self.draining {
            return false;
        }
        let work = time::Duration::from_secs_f64(tokens as f64 / self.pace);
        self.line.join(ticket, Urgency { work, ..urgency }, tokens);
        true
    }

    /// Starts what can start now.
    pub fn start(&mut self, now: time::Instant) -> Vec<Ticket> {
        let mut started = Vec::new();
        while self.running.len() < self.width {
            // Each that waits holds a decode seat meanwhile, so the shortest
            // goes first among those that can still come in time.
            let rank = |w: &Waiter<u64>| match w.urgency.is_unhurried(now) {
                true => (w.urgency.band(now), 0),
                false => (w.urgency.band(now), w.need),
            };
            let Some(waiter) = self.line.take(rank, |_| Fit::Now) else {
                break;
            };
            self.running.insert(waiter.ticket, waiter.need);
            started.push(waiter.ticket);
        }
        started
    }

    /// Ends a prompt in any state; tells whether the engine was working on it.
    pub fn leave(&mut self, ticket: Ticket) -> bool {
        self.line.leave(ticket);
        self.running.remove(&ticket).is_some()
    }

    /// Learns the engine's speed from a finished prefill of fresh tokens.
    pub fn measure(&mut self, fresh: u64, took: time::Duration) {
        if fresh < MEASURED_TOKENS || took.is_zero() {
            return;
        }
        let pace = fresh as f64 / took.as_secs_f64();
        self.pace += PACE_WEIGHT * (pace - self.pace);
    }

    /// Takes no prompts from now on; gives those that wait, to be refused.
    pub fn drain(&mut self) -> Vec<Ticket> {
        self.draining = true;
        self.shed()
    }

    /// Gives up the prompts that wait, to be sent elsewhere.
    pub fn shed(&mut self) -> Vec<Ticket> {
        self.line.clear()
    }

    /// Tokens that wait or are being worked on.
    pub fn backlog(&self) -> u64 {
        let waiting: u64 = self.line.iter().map(|w| w.need).sum();
        waiting + self.running.values().sum::<u64>()
    }

    /// Measured speed, in tokens per second.
    pub fn pace(&self) -> f64 {
        self.pace
    }
}
