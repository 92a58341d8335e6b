//! The order in which streams wait for a seat.
//!
//! Answers a burst beyond the decode pool's memory: work that can still be on
//! time goes before work that can't, the oldest first; late work follows as
//! there is room. What is late and finds no room is refused early, so that its
//! caller comes back after the burst; who has come back goes before other late
//! work and is kept as long as its caller stays.

use std::collections;
use std::time;

/// Time from a seat to the first event: reservation, prompt, transfer, first step.
const START_TIME: time::Duration = time::Duration::from_millis(260);
/// After this wait a stream is no longer passed by smaller ones, so that large
/// ones are not passed for ever; well within a target of most of a second.
const PASS_TIME: time::Duration = time::Duration::from_millis(300);
/// How long after its target work that is late is still kept waiting, where its
/// caller has not come back before.
const LATE_TIME: time::Duration = time::Duration::from_millis(500);

/// Names a waiting stream at this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What a waiting stream needs, and by when.
#[derive(Clone, Copy, Debug)]
pub struct QueuedStream {
    /// Tokens of engine memory.
    pub tokens: u64,
    /// When its first event is due.
    pub due: time::Instant,
    /// When its caller leaves if there is no event.
    pub caller_deadline: time::Instant,
    /// Whether its caller has come back after a refusal.
    pub returned: bool,
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// Since when it has waited.
    pub queued_at: time::Instant,
}

/// Streams that wait at one entry for one service.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    waits: collections::BTreeMap<Ticket, QueuedStream>,
}

impl WaitQueue {
    /// Adds a stream, also one that lost its seat; tickets are in order of arrival.
    pub fn insert(&mut self, ticket: Ticket, wait: QueuedStream) {
        self.waits.insert(ticket, wait);
    }

    /// Takes a stream out, because it has gone or was served.
    pub fn remove(&mut self, ticket: Ticket) {
        self.waits.remove(&ticket);
    }

    /// Streams in the order in which seats are offered.
    pub fn ordered(&self, now: time::Instant) -> Vec<(Ticket, QueuedStream)> {
        let mut all: Vec<_> = self.waits.iter().map(|(t, w)| (*t, *w)).collect();
        all.sort_by_key(|(ticket, wait)| {
            (wait.is_late(now), wait.priority, !wait.returned, *ticket)
        });
        all
    }

    /// Streams that can't be served any more.
    pub fn expired(&self, now: time::Instant) -> Vec<Ticket> {
        let lost = self.waits.iter().filter(|(_, w)| w.is_lost(now));
        lost.map(|(t, _)| *t).collect()
    }

    /// Streams that wait.
    pub fn len(&self) -> usize {
        self.waits.len()
    }

    /// Tells whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waits.is_empty()
    }

    /// Tokens of memory that are waited for.
    pub fn queued_tokens(&self) -> u64 {
        self.waits.values().map(|w| w.tokens).sum()
    }
}

impl QueuedStream {
    /// Tells whether its first event would be late if it began now.
    pub fn is_late(&self, now: time::Instant) -> bool {
        now + START_TIME > self.due
    }

    /// Tells whether smaller streams may take seats that it can't use.
    pub fn allows_overtaking(&self, now: time::Instant) -> bool {
        self.is_late(now) || now.saturating_duration_since(self.queued_at) < PASS_TIME
    }

    fn is_lost(&self, now: time::Instant) -> bool {
        let end = match self.returned {
            true => self.caller_deadline,
            false => self.caller_deadline.min(self.due + LATE_TIME),
        };
        now + START_TIME > end
    }
}
