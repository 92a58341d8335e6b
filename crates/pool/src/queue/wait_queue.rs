//! The queue of streams that wait for a decode engine.
//!
//! In a burst that exceeds the memory of the decode pool, streams that can still
//! start on time are served before late ones, the oldest first; late streams are
//! served as far as there is room. A late stream that finds no room is refused
//! early, so that its caller retries after the burst. A stream whose caller has
//! retried is served before other late ones, and stays queued for as long as its
//! caller waits.

use crate::engines::forecast::MemoryForecast;
use std::collections;
use std::time;

/// Time from the choice of an engine to the first event: reservation, prefill,
/// transfer and first decode step.
const START_LATENCY: time::Duration = time::Duration::from_millis(260);
/// After this wait a stream is no longer overtaken by smaller ones, so that
/// large streams don't wait forever. It is well below a typical latency target,
/// which is most of a second.
const MAX_OVERTAKING_TIME: time::Duration = time::Duration::from_millis(300);
/// How long a late stream whose caller has retried stays queued, where entries share one order.
const MAX_RETRY_WAIT: time::Duration = time::Duration::from_millis(2_500);
/// The same for a late stream whose caller has not retried, after its due time.
const SHARED_LATENESS: time::Duration = time::Duration::from_millis(150);
/// How long after its due time a late stream stays queued, unless its caller
/// has retried.
const MAX_LATENESS: time::Duration = time::Duration::from_millis(500);

/// Identifies a queued stream within this entry; earlier streams have lower numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What a queued stream needs, and its times.
#[derive(Clone, Copy, Debug)]
pub struct QueuedStream {
    /// Engine memory that it needs.
    pub memory: MemoryForecast,
    /// When its first event is due.
    pub due: time::Instant,
    /// When its caller gives up if there has been no event.
    pub caller_deadline: time::Instant,
    /// Whether its caller has retried after a refusal.
    pub is_retry: bool,
    /// Whether it may crash its engine, so that it should have the emptiest one.
    pub is_suspect: bool,
    /// Its priority; 0 is served first.
    pub priority: u8,
    /// Whether no stream of the service can be more urgent, where entries share one order.
    pub is_urgent: bool,
    /// When it was queued.
    pub queued_at: time::Instant,
}

/// Streams of one service that are queued at one entry.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    /// Whether entries share one order, in which urgency goes before lateness.
    is_shared: bool,
    streams: collections::BTreeMap<Ticket, QueuedStream>,
}

impl WaitQueue {
    /// Sets whether entries share one order of streams.
    pub fn set_shared(&mut self, is_shared: bool) {
        self.is_shared = is_shared;
    }

    /// Adds a stream, or adds one again that has lost its engine. Tickets must be
    /// numbered in the order of arrival.
    pub fn insert(&mut self, ticket: Ticket, stream: QueuedStream) {
        self.streams.insert(ticket, stream);
    }

    /// Removes a stream that has been served or whose caller has left.
    pub fn remove(&mut self, ticket: Ticket) {
        self.streams.remove(&ticket);
    }

    /// Returns all streams in the order in which they are offered engines.
    pub fn ordered(&self, now: time::Instant) -> Vec<(Ticket, QueuedStream)> {
        let mut all: Vec<_> = self.streams.iter().map(|(t, s)| (*t, *s)).collect();
        all.sort_by_key(|(ticket, stream)| {
            let priority = match self.is_shared {
                true => stream.priority,
                false => 0,
            };
            (
                priority,
                stream.is_late(now),
                stream.priority,
                !stream.is_retry,
                *ticket,
            )
        });
        all
    }

    /// Returns the streams that can no longer be served and must be refused.
    pub fn expired(&self, now: time::Instant) -> Vec<Ticket> {
        let is_shared = self.is_shared;
        let expired = self.streams.iter();
        let expired = expired.filter(|(_, s)| s.is_expired(is_shared, now));
        expired.map(|(t, _)| *t).collect()
    }

    /// Returns the number of queued streams that can still be on time and the memory of all,
    /// by priority.
    pub fn waiting_by_priority(&self, now: time::Instant) -> collections::BTreeMap<u8, (u32, u64)> {
        let mut waiting: collections::BTreeMap<u8, (u32, u64)> = collections::BTreeMap::new();
        for stream in self.streams.values() {
            let (count, tokens) = waiting.entry(stream.priority).or_default();
            *count += u32::from(!stream.is_late(now));
            *tokens = tokens.saturating_add(stream.memory.now());
        }
        waiting
    }

    /// Returns the number of queued streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is queued.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns the engine memory that all queued streams need, in tokens.
    pub fn queued_tokens(&self) -> u64 {
        let peaks = self.streams.values().map(|s| s.memory.peak());
        peaks.fold(0, u64::saturating_add)
    }
}

impl QueuedStream {
    /// Returns whether its first event would be late if it started now.
    pub fn is_late(&self, now: time::Instant) -> bool {
        now + START_LATENCY > self.due
    }

    /// Returns whether smaller streams may use room that is too small for it.
    pub fn allows_overtaking(&self, now: time::Instant) -> bool {
        self.is_late(now) || now.saturating_duration_since(self.queued_at) < MAX_OVERTAKING_TIME
    }

    fn is_expired(&self, is_shared: bool, now: time::Instant) -> bool {
        let end = match (self.is_retry, is_shared) {
            _ if self.is_urgent => self.caller_deadline,
            (true, true) => self.caller_deadline.min(self.queued_at + MAX_RETRY_WAIT),
            (true, false) => self.caller_deadline,
            // Others that can still be on time go before it.
            (false, true) => self.caller_deadline.min(self.due + SHARED_LATENESS),
            (false, false) => self.caller_deadline.min(self.due + MAX_LATENESS),
        };
        now + START_LATENCY > end
    }
}
