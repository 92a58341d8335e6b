//! Calls to a plain service that wait at their entry while all hosts are full.
//!
//! In a burst, a full host refuses what comes, and each refused call costs a retry. A call that
//! waits here goes out when a host is likely to take it, in one order of all that wait: those
//! that can still be on time first, by urgency and by when they are due. What would wait longer
//! than its caller is refused at once.

use crate::limits::window::SlidingWindow;
use std::collections;
use std::time;

/// Most calls that wait at one entry.
const MAX_WAITING: usize = 128;
/// Window over which ended calls are counted.
const WINDOW: time::Duration = time::Duration::from_secs(2);
/// Calls that end in a second which are assumed at least.
const MIN_END_RATE: f64 = 20.0;
/// Time that a host takes for a call that is not late.
const SERVICE_TIME: time::Duration = time::Duration::from_millis(60);

/// A call that waits.
#[derive(Clone, Copy, Debug)]
pub struct WaitingCall {
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// When its answer is due.
    pub due: time::Instant,
    /// When it waits no longer.
    pub deadline: time::Instant,
}

/// Identifies a waiting call; later ones have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallTicket(u64);

/// The calls to one service that wait at one entry.
#[derive(Clone, Debug)]
pub struct CallQueue {
    waiting: collections::BTreeMap<CallTicket, WaitingCall>,
    last_ticket: u64,
    ended: SlidingWindow,
}

impl CallQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            waiting: collections::BTreeMap::new(),
            last_ticket: 0,
            ended: SlidingWindow::new(WINDOW),
        }
    }

    /// Adds a call. If its turn would come after its deadline, it is not added, and the error is
    /// the time after which its caller may come back.
    pub fn join(
        &mut self,
        call: WaitingCall,
        now: time::Instant,
    ) -> Result<CallTicket, time::Duration> {
        let place = call.place(now);
        let ahead = self.waiting.values().filter(|c| c.place(now) <= place);
        let (ahead, all) = (ahead.count(), self.waiting.len());
        let rate = (self.ended.sum(now) / WINDOW.as_secs_f64()).max(MIN_END_RATE);
        let wait = |count: usize| time::Duration::from_secs_f64(count as f64 / rate);
        if all >= MAX_WAITING || now + wait(ahead) + SERVICE_TIME > call.deadline {
            return Err(wait(all));
        }
        self.last_ticket += 1;
        let ticket = CallTicket(self.last_ticket);
        self.waiting.insert(ticket, call);
        Ok(ticket)
    }

    /// Returns whether no other call goes before this one.
    pub fn is_first(&self, ticket: CallTicket, now: time::Instant) -> bool {
        let first = self.waiting.iter().min_by_key(|(t, c)| (c.place(now), **t));
        first.is_none_or(|(first, _)| *first == ticket)
    }

    /// Returns whether a call has waited until its deadline.
    pub fn is_over(&self, ticket: CallTicket, now: time::Instant) -> bool {
        self.waiting.get(&ticket).is_some_and(|c| c.deadline <= now)
    }

    /// Removes a call that is sent or given up.
    pub fn leave(&mut self, ticket: CallTicket) {
        self.waiting.remove(&ticket);
    }

    /// Records that a host has answered a call.
    pub fn record_end(&mut self, now: time::Instant) {
        self.ended.add(1.0, now);
    }

    /// Returns the number of calls that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

impl Default for CallQueue {
    fn default() -> Self {
        Self::new()
    }
}

impl WaitingCall {
    /// Returns the place of the call in the order of those that wait.
    fn place(&self, now: time::Instant) -> (bool, u8, time::Instant) {
        (now + SERVICE_TIME > self.due, self.priority, self.due)
    }
}
