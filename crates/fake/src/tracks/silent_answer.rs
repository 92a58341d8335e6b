//! Answers of a fake worker that falls silent, as the path of a request names them.

use std::time;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// By its last chunk.
    Chunked,
    /// By the end of its connection.
    Unframed,
}

/// What a worker answers to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    /// A stream of this many events, with this time between them.
    Stream {
        event_count: u64,
        interval: time::Duration,
    },
    /// A plain body of this many bytes.
    Plain { framing: Framing, length: usize },
}

impl Answer {
    /// Reads the last segment of a path: `events-COUNT-INTERVAL_MS`, `length-BYTES`,
    /// `chunked-BYTES` or `unframed-BYTES`.
    pub(super) fn from_path(path: &str) -> Self {
        let mut words = path.rsplit('/').next().unwrap_or_default().split('-');
        let kind = words.next().unwrap_or_default();
        let mut number = || words.next().and_then(|w| w.parse::<u64>().ok());
        let first = number().unwrap_or(0);
        let framing = match kind {
            "events" => {
                return Self::Stream {
                    event_count: first,
                    interval: time::Duration::from_millis(number().unwrap_or(0)),
                };
            }
            "chunked" => Framing::Chunked,
            "unframed" => Framing::Unframed,
            _ => Framing::Length,
        };
        Self::Plain {
            framing,
            length: first as usize,
        }
    }

    /// Returns the whole body, without its framing.
    pub(super) fn body(self) -> String {
        match self {
            Self::Stream { event_count, .. } => (1..=event_count).map(event_text).collect(),
            Self::Plain { length, .. } => body_bytes(length),
        }
    }
}

/// Returns the text of an event.
pub fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// Returns a plain body, in which no part can be lost or repeated without notice.
pub fn body_bytes(length: usize) -> String {
    let numbers = (0..).map(|n: usize| format!("{n:07} "));
    let mut text: String = numbers.take(length.div_ceil(8)).collect();
    text.truncate(length);
    text
}
