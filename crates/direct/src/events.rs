//! Splits a server-sent event stream into complete events.

use std::time;
use world::Name;

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
    /// Whether each id so far was the one after its predecessor.
    is_consecutive: bool,
    /// Whether another engine has taken over, whose first event is still to come.
    is_continuing: bool,
    is_misordered: bool,
    /// Engine that had no event to add behind the last one.
    empty_engine: Option<Name>,
}

/// Longest event that is read from an engine; an engine in trouble may send bytes
/// without end.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// What ends an event.
const EVENT_END: &[u8] = b"\n\n";
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
            is_consecutive: true,
            is_continuing: false,
            is_misordered: false,
            empty_engine: None,
        }
    }

    /// Expects the events of another engine, in place of what is missing. The start of an
    /// event that was cut off is discarded.
    pub(crate) fn continue_elsewhere(&mut self) {
        self.partial.clear();
        self.is_continuing = true;
        self.is_misordered = false;
    }

    /// Returns whether another engine has taken over that has sent no event yet.
    pub(crate) fn is_continuing(&self) -> bool {
        self.is_continuing
    }

    /// Returns whether another engine has taken over and sent nothing that counts yet.
    pub(crate) fn is_at_handover(&self) -> bool {
        self.is_continuing && !self.is_misordered && !self.has_partial()
    }

    /// Records that an engine has no event to add. Returns whether another one had none
    /// either: then none is missing.
    pub(crate) fn confirm_end(&mut self, engine: &Name) -> bool {
        let is_confirmed = self.empty_engine.as_ref().is_some_and(|e| e != engine);
        self.empty_engine.get_or_insert_with(|| engine.clone());
        is_confirmed
    }

    /// Returns whether bytes have arrived that don't follow the last event. They and all
    /// after them belong to another stream, or to none.
    pub(crate) fn is_misordered(&self) -> bool {
        self.is_misordered
    }

    /// Records that bytes have arrived now, for the longest pause. Returns whether they are
    /// the first.
    pub(crate) fn record_arrival(&mut self) -> bool {
        let now = time::Instant::now();
        let is_first = self.first_arrival.is_none();
        match is_first {
            true => self.first_arrival = Some(now),
            false => {
                let gap = now.saturating_duration_since(self.last_arrival);
                self.max_gap = self.max_gap.max(gap);
            }
        }
        self.last_arrival = now;
        is_first
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

    /// Returns the number of bytes of the incomplete event.
    pub(crate) fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Adds bytes, and returns all events that are complete now, up to the first one that
    /// is out of order.
    pub(crate) fn push(&mut self, bytes: bytes::Bytes) -> Option<bytes::Bytes> {
        if self.is_misordered {
            return None;
        }
        let is_whole = self.partial.is_empty() && last_end(&bytes, 0) == Some(bytes.len());
        let mut complete = match is_whole {
            true => bytes,
            false => {
                let known = self.partial.len();
                self.partial.extend_from_slice(&bytes);
                let end = last_end(&self.partial, known)?;
                self.partial.split_to(end).freeze()
            }
        };
        let mut start = 0;
        while let Some(end) = first_end(&complete, start) {
            if !self.record_event(&complete[start..end]) {
                self.is_misordered = true;
                complete.truncate(start);
                break;
            }
            start = end;
        }
        Some(complete).filter(|events| !events.is_empty())
    }

    /// Records a complete event; returns false if it doesn't follow the one before it.
    fn record_event(&mut self, event: &[u8]) -> bool {
        let mut lines = event.split(|b| *b == b'\n').filter(|line| !line.is_empty());
        let is_joined = self.is_continuing || self.event_count > 0;
        if is_joined && !lines.clone().next().is_none_or(is_field) {
            return false;
        }
        let Some(id) = lines.clone().find_map(|line| line.strip_prefix(b"id:")) else {
            // A comment may come at any time. Other text has no place at the point where
            // another engine goes on.
            return !self.is_continuing || lines.all(|line| line.starts_with(b":"));
        };
        let id = std::str::from_utf8(id).ok().map(str::trim);
        let id: Option<u64> = id.and_then(|id| id.parse().ok());
        if let (Some(id), Some(last)) = (id, self.last_id) {
            let is_next = last.checked_add(1) == Some(id);
            if id <= last || (self.is_continuing && self.is_consecutive && !is_next) {
                return false;
            }
            self.is_consecutive &= is_next;
        } else if self.is_continuing && id.is_none() {
            return false;
        }
        self.last_id = id.or(self.last_id);
        self.event_count += 1;
        self.empty_engine = None;
        self.is_continuing = false;
        true
    }

    /// Returns whether the buffer holds the start of an incomplete event. Empty lines begin
    /// none.
    pub(crate) fn has_partial(&self) -> bool {
        self.partial.iter().any(|b| *b != b'\n')
    }

    /// Takes what is left of a stream that is whole: the empty lines behind its last event.
    pub(crate) fn take_rest(&mut self) -> Option<bytes::Bytes> {
        let rest = std::mem::take(&mut self.partial).freeze();
        Some(rest).filter(|r| !r.is_empty())
    }
}

/// Returns the end of the first complete event in `bytes` from `start` on. Empty lines
/// before an event belong to it.
fn first_end(bytes: &[u8], start: usize) -> Option<usize> {
    let text = start + bytes[start..].iter().position(|b| *b != b'\n')?;
    let length = bytes[text..].windows(2).position(|w| w == EVENT_END)?;
    Some(text + length + EVENT_END.len())
}

/// Returns the end of the last complete event in `bytes`. The first `known` bytes hold none,
/// so that only what follows is searched; they may hold the first byte of one.
pub(crate) fn last_end(bytes: &[u8], known: usize) -> Option<usize> {
    let start = known.saturating_sub(EVENT_END.len() - 1);
    let mut windows = bytes[start..].windows(EVENT_END.len());
    let end = start + windows.rposition(|w| w == EVENT_END)?;
    // Further empty lines belong to the next event.
    let text = bytes[..end].iter().rposition(|b| *b != b'\n')?;
    Some(text + 1 + EVENT_END.len())
}

/// Returns whether a line can begin an event or a comment. A status line can't, nor can text
/// or JSON, which an engine in trouble may send behind its last event.
fn is_field(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|b| *b == b':') else {
        return line == b"data";
    };
    let is_name_byte = |b: &u8| b.is_ascii_lowercase() || b.is_ascii_digit() || *b == b'-';
    line[..colon].iter().all(is_name_byte)
}
