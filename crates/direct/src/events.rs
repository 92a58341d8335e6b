//! Splits a server-sent event stream into complete events.

use std::time;

/// Splits a byte stream into complete events and tracks the last event id and
/// the timing.
pub(crate) struct EventSplitter {
    /// Start of an event whose end has not arrived.
    partial: bytes::BytesMut,
    /// Id of the last complete event.
    pub(crate) last_id: Option<u64>,
    /// Number of complete events with an id.
    pub(crate) event_count: u64,
    /// When the first bytes arrived.
    pub(crate) first_arrival: Option<time::Instant>,
    /// Longest pause between two arrivals of bytes.
    pub(crate) max_gap: time::Duration,
    last_arrival: time::Instant,
}

/// Longest event that is read from an engine; an engine in trouble may send bytes
/// without end.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Events after which their mean interval is known well enough.
const MIN_EVENTS: u64 = 5;

impl EventSplitter {
    /// Starts after the event `after`, which the caller already has.
    pub(crate) fn new(after: Option<u64>) -> Self {
        Self {
            partial: bytes::BytesMut::new(),
            last_id: after,
            event_count: 0,
            first_arrival: None,
            max_gap: time::Duration::ZERO,
            last_arrival: time::Instant::now(),
        }
    }

    /// Records that bytes have arrived now, for the first delay and the longest
    /// pause.
    pub(crate) fn record_arrival(&mut self, arrived_at: time::Instant) {
        let now = time::Instant::now();
        match self.first_arrival {
            Some(_) => {
                self.max_gap = self
                    .max_gap
                    .max(now.saturating_duration_since(self.last_arrival))
            }
            None => {
                let first = now.saturating_duration_since(arrived_at);
                metrics::histogram!("first_event_seconds").record(first.as_secs_f64());
                self.first_arrival = Some(now);
            }
        }
        self.last_arrival = now;
    }

    /// Returns the time since the last bytes.
    pub(crate) fn silence(&self) -> time::Duration {
        self.last_arrival.elapsed()
    }

    /// Returns the time from the first to the last bytes.
    pub(crate) fn duration(&self) -> time::Duration {
        self.first_arrival
            .map_or(time::Duration::ZERO, |f| self.last_arrival - f)
    }

    /// Returns the mean time between two events, once there are a few.
    pub(crate) fn interval(&self) -> Option<time::Duration> {
        let count = u32::try_from(self.event_count).unwrap_or(u32::MAX);
        (self.event_count >= MIN_EVENTS).then(|| self.duration() / count)
    }

    /// Returns whether the incomplete event is longer than any event may be.
    pub(crate) fn is_oversized(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Adds bytes, and returns all events that are complete now.
    pub(crate) fn push(&mut self, bytes: bytes::Bytes) -> Option<bytes::Bytes> {
        let complete = match self.partial.is_empty() && bytes.ends_with(b"\n\n") {
            true => bytes,
            false => {
                self.partial.extend_from_slice(&bytes);
                let end = self.partial.windows(2).rposition(|w| w == b"\n\n")?;
                self.partial.split_to(end + 2).freeze()
            }
        };
        for line in complete.split(|b| *b == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = std::str::from_utf8(id).ok().map(str::trim);
                self.last_id = id.and_then(|i| i.parse().ok()).or(self.last_id);
                self.event_count += 1;
            }
        }
        Some(complete)
    }

    /// Returns whether the buffer holds the start of an incomplete event.
    pub(crate) fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards the start of an event that was cut off.
    pub(crate) fn discard_partial(&mut self) {
        self.partial.clear();
    }
}
