//! Who may use one decode engine; see docs/DESIGN.md, "Placement".

use crate::gap_model::TokenGapModel;
use crate::urgency::Urgency;
use crate::wait_queue::Admission;
use crate::wait_queue::AttemptId;
use crate::wait_queue::WaitQueue;
use crate::wait_queue::Waiter;
use std::collections;
use std::time;

/// The decode seats and memory of one engine, and the bids that wait.
///
/// One agent decides for one engine, so two entries never oversubscribe it.
#[derive(Clone, Debug)]
pub struct SeatScheduler {
    seats: u32,
    pieces: u32,
    held: collections::BTreeMap<AttemptId, Held>,
    queue: WaitQueue<u32>,
    speed: TokenGapModel,
    draining: bool,
}

/// What one ticket holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    pieces: u32,
    /// Its target between tokens.
    gap_target: time::Duration,
}

/// What one more request would do to the streams of an engine.
struct Pace {
    /// The gap between tokens with one more.
    next: Option<time::Duration>,
    /// The least target among those that hold seats and can be met now.
    strictest: time::Duration,
    /// The gap between tokens with all seats taken.
    full: time::Duration,
    /// Requests here that can live with all seats taken.
    tolerant: usize,
    /// The gaps between tokens with 1, 2, … seats taken.
    gaps: Vec<time::Duration>,
}

impl Pace {
    /// A request does better elsewhere where it would miss its target between
    /// tokens, or make others miss theirs. One that is late is taken all the
    /// same if it harms nobody.
    fn fit(&self, waiter: &Waiter<u32>, free: u32, now: time::Instant) -> Admission {
        if waiter.need > free {
            return Admission::Later;
        }
        let Some(next) = self.next else {
            return Admission::Now;
        };
        let misses = next > waiter.urgency.gap_target && !waiter.urgency.is_late(now);
        if misses || next > self.strictest || self.displaces(waiter.urgency.gap_target) {
            return Admission::Elsewhere;
        }
        Admission::Now
    }

    /// Tells whether a strict request would leave the engine fewer seats than
    /// its tolerant ones could fill.
    fn displaces(&self, gap_target: time::Duration) -> bool {
        let seats = self
            .gaps
            .iter()
            .take_while(|gap| **gap <= gap_target)
            .count();
        gap_target < self.full && self.tolerant > seats
    }
}

impl SeatScheduler {
    /// Begins with all seats and pieces free.
    pub fn new(seats: u32, pieces: u32) -> Self {
        Self {
            seats,
            pieces,
            held: collections::BTreeMap::new(),
            queue: WaitQueue::new(),
            speed: TokenGapModel::default(),
            draining: false,
        }
    }

    /// Takes a bid; gives false where the engine could never hold it or is
    /// being emptied.
    pub fn enqueue(&mut self, attempt: AttemptId, pieces: u32, urgency: Urgency) -> bool {
        if self.draining || pieces > self.pieces {
            return false;
        }
        self.queue.push(attempt, urgency, pieces);
        true
    }

    /// Frees what a ticket holds or ends its wait; may be repeated.
    pub fn release(&mut self, attempt: AttemptId) {
        self.held.remove(&attempt);
        self.queue.remove(attempt);
    }

    /// Grants seats for as long as one is free; the grants hold from now on.
    pub fn grant(&mut self, now: time::Instant) -> Vec<AttemptId> {
        let mut granted = Vec::new();
        // An agent asks after every token; mostly nobody waits.
        while self.free_seats() > 0 && self.queue.len() > 0 {
            let free = self.free_pieces();
            let pace = self.pace_with_one_more();
            let Some(waiter) = self
                .queue
                .take_first(|w| w.urgency.rank(now), |w| pace.fit(w, free, now))
            else {
                break;
            };
            let held = Held {
                pieces: waiter.need,
                gap_target: waiter.urgency.gap_target,
            };
            self.held.insert(waiter.attempt, held);
            granted.push(waiter.attempt);
        }
        granted
    }

    /// Takes no bids from now on; gives those that still wait, to be refused.
    pub fn drain(&mut self) -> Vec<AttemptId> {
        self.draining = true;
        self.queue.clear()
    }

    /// Seats that nobody holds.
    pub fn free_seats(&self) -> u32 {
        let held = u32::try_from(self.held.len()).unwrap_or(u32::MAX);
        self.seats.saturating_sub(held)
    }

    /// Pieces that nobody holds.
    pub fn free_pieces(&self) -> u32 {
        self.pieces - self.held.values().map(|h| h.pieces).sum::<u32>()
    }

    /// Learns from one gap between the tokens of a stream.
    pub fn record_gap(&mut self, gap: time::Duration) {
        self.speed.record(self.held.len(), gap);
    }

    /// Streams' pace with one more request, in tokens per second; 0 where it
    /// isn't known yet.
    pub fn next_stream_rate(&self) -> f64 {
        self.pace_at(self.held.len() + 1)
    }

    /// Streams' pace with all seats taken, in tokens per second; 0 where it
    /// isn't known yet.
    pub fn full_stream_rate(&self) -> f64 {
        self.pace_at(self.seats as usize)
    }

    fn pace_at(&self, occupancy: usize) -> f64 {
        let gap = self.speed.predict(occupancy);
        gap.filter(|g| !g.is_zero())
            .map_or(0.0, |g| 1.0 / g.as_secs_f64())
    }

    fn pace_with_one_more(&self) -> Pace {
        let full = self.speed.predict(self.seats as usize).unwrap_or_default();
        let waiting = self.queue.iter().map(|w| w.urgency.gap_target);
        let all = self.held.values().map(|h| h.gap_target).chain(waiting);
        let gap = |n| self.speed.predict(n).unwrap_or_default();
        Pace {
            next: self.speed.predict(self.held.len() + 1),
            strictest: self.strictest(),
            full,
            tolerant: all.filter(|target| *target >= full).count(),
            gaps: (1..=self.seats as usize).map(gap).collect(),
        }
    }

    /// The least target between tokens that those who hold seats still meet.
    fn strictest(&self) -> time::Duration {
        let now = self.speed.predict(self.held.len()).unwrap_or_default();
        let targets = self.held.values().map(|h| h.gap_target);
        targets
            .filter(|target| *target >= now)
            .min()
            .unwrap_or(time::Duration::MAX)
    }

    /// Bids that wait.
    pub fn waiting_bids(&self) -> usize {
        self.queue.len()
    }

    /// Tells whether a ticket holds a seat.
    pub fn holds_seat(&self, attempt: AttemptId) -> bool {
        self.held.contains_key(&attempt)
    }
}
