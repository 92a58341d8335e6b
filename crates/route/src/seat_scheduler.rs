//! Admission of requests to one decode engine; see docs/DESIGN.md, "Placement".

use crate::gap_model::TokenGapModel;
use crate::urgency::Urgency;
use crate::wait_queue::Admission;
use crate::wait_queue::AttemptId;
use crate::wait_queue::WaitQueue;
use crate::wait_queue::Waiter;
use std::collections;
use std::time;

/// Grants the decode seats and memory of one engine to waiting bids.
///
/// A seat is a slot in the engine's decode batch. The engine's agent alone grants
/// its seats, so several entries can't oversubscribe it together.
#[derive(Clone, Debug)]
pub struct SeatScheduler {
    /// Number of seats, free or held.
    seats: u32,
    /// Number of pieces of engine memory, free or held.
    pieces: u32,
    /// What each attempt with a seat holds.
    allocations: collections::BTreeMap<AttemptId, Allocation>,
    /// Waiting bids, with the pieces that each needs.
    queue: WaitQueue<u32>,
    gap_model: TokenGapModel,
    draining: bool,
}

/// What one attempt with a seat holds.
#[derive(Clone, Copy, Debug)]
struct Allocation {
    /// Pieces of engine memory.
    pieces: u32,
    /// Target for the time between its tokens.
    gap_target: time::Duration,
}

/// Predicted effect of one more request on the streams of an engine.
struct GapForecast {
    /// Gap between tokens with one more request; `None` while unknown.
    next_gap: Option<time::Duration>,
    /// Strictest target that a request with a seat meets now.
    strictest_met: time::Duration,
    /// Gap between tokens with all seats taken.
    full_gap: time::Duration,
    /// Requests, with a seat or waiting, whose target is met with all seats taken.
    tolerant_requests: usize,
    /// Gaps between tokens with 1, 2, … seats taken.
    gaps: Vec<time::Duration>,
}

impl GapForecast {
    /// Decides whether a waiting request is admitted.
    ///
    /// A request is better served elsewhere if it would miss its target between tokens
    /// or make others miss theirs. One that is already late for its first token may
    /// miss its own target, but is admitted only if no other request is harmed.
    fn admission(&self, waiter: &Waiter<u32>, free: u32, now: time::Instant) -> Admission {
        if waiter.need > free {
            return Admission::Later;
        }
        let Some(next_gap) = self.next_gap else {
            return Admission::Now;
        };
        let misses_target = next_gap > waiter.urgency.gap_target && !waiter.urgency.is_late(now);
        if misses_target
            || next_gap > self.strictest_met
            || self.displaces(waiter.urgency.gap_target)
        {
            return Admission::Elsewhere;
        }
        Admission::Now
    }

    /// Returns whether admitting a request with a strict target would limit the
    /// engine to fewer seats than its tolerant requests could fill.
    fn displaces(&self, gap_target: time::Duration) -> bool {
        let seats = self
            .gaps
            .iter()
            .take_while(|gap| **gap <= gap_target)
            .count();
        gap_target < self.full_gap && self.tolerant_requests > seats
    }
}

impl SeatScheduler {
    /// Creates a scheduler with all seats and pieces of memory free.
    pub fn new(seats: u32, pieces: u32) -> Self {
        Self {
            seats,
            pieces,
            allocations: collections::BTreeMap::new(),
            queue: WaitQueue::new(),
            gap_model: TokenGapModel::default(),
            draining: false,
        }
    }

    /// Adds a bid. Returns false if it needs more memory than the engine has, or
    /// while draining.
    pub fn enqueue(&mut self, attempt: AttemptId, pieces: u32, urgency: Urgency) -> bool {
        if self.draining || pieces > self.pieces {
            return false;
        }
        self.queue.push(attempt, urgency, pieces);
        true
    }

    /// Frees what an attempt holds or removes its bid; unknown attempts are ignored.
    pub fn release(&mut self, attempt: AttemptId) {
        self.allocations.remove(&attempt);
        self.queue.remove(attempt);
    }

    /// Grants free seats to waiting bids and returns their attempts, which hold the
    /// seats from now on.
    pub fn grant(&mut self, now: time::Instant) -> Vec<AttemptId> {
        let mut granted = Vec::new();
        // This is called after every token, and mostly no bid waits.
        while self.free_seats() > 0 && self.queue.len() > 0 {
            let free = self.free_pieces();
            let forecast = self.forecast_one_more();
            let Some(waiter) = self.queue.take_first(
                |w| w.urgency.rank(now),
                |w| forecast.admission(w, free, now),
            ) else {
                break;
            };
            let allocation = Allocation {
                pieces: waiter.need,
                gap_target: waiter.urgency.gap_target,
            };
            self.allocations.insert(waiter.attempt, allocation);
            granted.push(waiter.attempt);
        }
        granted
    }

    /// Refuses bids from now on. Removes and returns the waiting ones, which the
    /// caller has to refuse.
    pub fn drain(&mut self) -> Vec<AttemptId> {
        self.draining = true;
        self.queue.take_all()
    }

    /// Number of free seats.
    pub fn free_seats(&self) -> u32 {
        let held = u32::try_from(self.allocations.len()).unwrap_or(u32::MAX);
        self.seats.saturating_sub(held)
    }

    /// Number of free pieces of engine memory.
    pub fn free_pieces(&self) -> u32 {
        self.pieces - self.allocations.values().map(|a| a.pieces).sum::<u32>()
    }

    /// Records the gap between two tokens of a stream.
    pub fn record_gap(&mut self, gap: time::Duration) {
        self.gap_model.record(self.allocations.len(), gap);
    }

    /// Predicted rate of each stream with one more request, in tokens per second; 0
    /// while unknown.
    pub fn next_stream_rate(&self) -> f64 {
        self.stream_rate(self.allocations.len() + 1)
    }

    /// Predicted rate of each stream with all seats taken, in tokens per second; 0
    /// while unknown.
    pub fn saturated_stream_rate(&self) -> f64 {
        self.stream_rate(self.seats as usize)
    }

    /// Predicted rate of each stream at an occupancy, in tokens per second; 0 while
    /// unknown.
    fn stream_rate(&self, occupancy: usize) -> f64 {
        let gap = self.gap_model.predict(occupancy);
        gap.filter(|g| !g.is_zero())
            .map_or(0.0, |g| 1.0 / g.as_secs_f64())
    }

    /// Predicts the effect of one more request.
    fn forecast_one_more(&self) -> GapForecast {
        let full_gap = self
            .gap_model
            .predict(self.seats as usize)
            .unwrap_or_default();
        let waiting = self.queue.iter().map(|w| w.urgency.gap_target);
        let targets = self
            .allocations
            .values()
            .map(|a| a.gap_target)
            .chain(waiting);
        let gap = |n| self.gap_model.predict(n).unwrap_or_default();
        GapForecast {
            next_gap: self.gap_model.predict(self.allocations.len() + 1),
            strictest_met: self.strictest_met(),
            full_gap,
            tolerant_requests: targets.filter(|target| *target >= full_gap).count(),
            gaps: (1..=self.seats as usize).map(gap).collect(),
        }
    }

    /// Strictest target between tokens that a request with a seat meets now.
    fn strictest_met(&self) -> time::Duration {
        let current_gap = self
            .gap_model
            .predict(self.allocations.len())
            .unwrap_or_default();
        let targets = self.allocations.values().map(|a| a.gap_target);
        targets
            .filter(|target| *target >= current_gap)
            .min()
            .unwrap_or(time::Duration::MAX)
    }

    /// Number of waiting bids.
    pub fn waiting_bids(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether an attempt holds a seat.
    pub fn holds_seat(&self, attempt: AttemptId) -> bool {
        self.allocations.contains_key(&attempt)
    }
}
