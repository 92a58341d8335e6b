//! Streams of events, cut where events end.

use std::time;

/// Cuts a stream into whole events and knows the last one's id.
pub(crate) struct Events {
    rest: bytes::BytesMut,
    /// The id of the last whole event.
    pub(crate) last: Option<u64>,
    /// Whole events so far.
    pub(crate) passed: u64,
    /// When the first bytes came, after the request.
    pub(crate) first: Option<time::Duration>,
    /// The longest pause after them.
    pub(crate) gap: time::Duration,
    seen: time::Instant,
}

impl Events {
    /// Begins after an event that the caller has.
    pub(crate) fn new(after: Option<u64>) -> Self {
        Self {
            rest: bytes::BytesMut::new(),
            last: after,
            passed: 0,
            first: None,
            gap: time::Duration::ZERO,
            seen: time::Instant::now(),
        }
    }

    /// Notes the time of bytes that came: the first ones, and the longest pause.
    pub(crate) fn time(&mut self, arrived: time::Instant) {
        let now = time::Instant::now();
        match self.first {
            Some(_) => self.gap = self.gap.max(now.saturating_duration_since(self.seen)),
            None => {
                let first = now.saturating_duration_since(arrived);
                metrics::histogram!("first_event_seconds").record(first.as_secs_f64());
                self.first = Some(first);
            }
        }
        self.seen = now;
    }

    /// Adds bytes; gives all whole events.
    pub(crate) fn add(&mut self, bytes: bytes::Bytes) -> Option<bytes::Bytes> {
        let whole = match self.rest.is_empty() && bytes.ends_with(b"\n\n") {
            true => bytes,
            false => {
                self.rest.extend_from_slice(&bytes);
                let end = self.rest.windows(2).rposition(|w| w == b"\n\n")?;
                self.rest.split_to(end + 2).freeze()
            }
        };
        for line in whole.split(|b| *b == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = std::str::from_utf8(id).ok().map(str::trim);
                self.last = id.and_then(|i| i.parse().ok()).or(self.last);
                self.passed += 1;
            }
        }
        Some(whole)
    }

    /// Tells whether an event has begun and not ended.
    pub(crate) fn inside(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Forgets the event that broke off.
    pub(crate) fn restart(&mut self) {
        self.rest.clear();
    }
}
