//! Decides when a stream whose events stop coming counts as stalled.
//!
//! A sound engine may fall silent for some seconds and go on, so silence alone ends no
//! answer: it only lets a stream be started elsewhere where that is possible. An engine
//! that sends bytes all the while and completes no event is at fault.

use std::time;

/// How long an engine may take from the response head to the first complete event.
const FIRST_EVENT_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);
/// Longest time between two complete events. It is below the two seconds that callers
/// wait at least, so that a stream can go on elsewhere before its caller leaves.
const STALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Number of reads that complete no event, from which on an overdue event is not put down
/// to silence.
const MAX_PARTIAL_READS: u32 = 16;
/// An engine from which no bytes came for this long is silent, whatever it sent before.
const MIN_SILENCE: time::Duration = time::Duration::from_millis(400);

/// The progress of one stream at one engine.
#[derive(Clone, Debug)]
pub struct StreamProgress {
    /// Whether the stream can go on at another engine.
    can_move: bool,
    /// Whether it stays at its engine until the next event.
    is_held: bool,
    /// When the next complete event is overdue.
    due: time::Instant,
    /// Reads since the last complete event.
    partial_reads: u32,
    /// When the last bytes arrived.
    last_read: time::Instant,
}

impl StreamProgress {
    /// Starts with the response head. `can_move` tells whether the stream may be started
    /// at another engine.
    pub fn new(can_move: bool, now: time::Instant) -> Self {
        Self {
            can_move,
            is_held: false,
            due: now + FIRST_EVENT_TIMEOUT,
            partial_reads: 0,
            last_read: now,
        }
    }

    /// Keeps the stream at its engine until the next event, as no other one takes it now.
    pub fn hold(&mut self) {
        self.is_held = true;
    }

    /// Returns when to check whether the stream is stalled.
    pub fn check_at(&self) -> time::Instant {
        self.due
    }

    /// Records that bytes arrived, and whether they completed an event.
    pub fn record_read(&mut self, is_complete: bool, now: time::Instant) {
        self.last_read = now;
        if is_complete {
            self.partial_reads = 0;
            self.is_held = false;
            self.due = now + STALL_TIMEOUT;
        } else {
            self.partial_reads += 1;
        }
    }

    /// Returns whether the stream is stalled. If it is only silent, the next check is due
    /// later.
    pub fn is_stalled(&mut self, now: time::Instant) -> bool {
        if now < self.due {
            return false;
        }
        let is_silent = now.saturating_duration_since(self.last_read) >= MIN_SILENCE;
        let is_faulty = self.partial_reads >= MAX_PARTIAL_READS && !is_silent;
        if self.can_move && !self.is_held || is_faulty {
            return true;
        }
        if is_silent {
            self.partial_reads = 0;
        }
        self.due = now + STALL_TIMEOUT;
        false
    }
}
