//! Measures how much engine time callers request, for prefill and for decode.
//!
//! Both stages are measured by the requests that arrive, not by the requests in
//! progress: a stage without enough engines delays the work of the other stage,
//! which would then look idle.

use crate::limits::window::SlidingWindow;
use std::time;

/// Length of the window over which demand is measured.
const WINDOW: time::Duration = time::Duration::from_secs(8);
/// Weight of the previous average when a finished stream updates it.
const PREVIOUS_WEIGHT: f64 = 0.97;
/// Assumed memory use of one stream before any has ended, in token seconds.
const INITIAL_TOKEN_SECONDS: f64 = 9_000.0;

/// Demand for one service by the callers of one entry.
#[derive(Clone, Debug)]
pub struct Demand {
    prompt_tokens: SlidingWindow,
    streams: SlidingWindow,
    /// Average memory use of one stream, in token seconds.
    average_use: f64,
}

/// Rates of demand, as exchanged between entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct DemandRate {
    /// Prompt tokens per second.
    pub prompt: f64,
    /// Memory that streams occupy, in token seconds per second.
    pub stream: f64,
}

impl Demand {
    /// Starts without any recorded request.
    pub fn new() -> Self {
        Self {
            prompt_tokens: SlidingWindow::new(WINDOW),
            streams: SlidingWindow::new(WINDOW),
            average_use: INITIAL_TOKEN_SECONDS,
        }
    }

    /// Records a requested stream with the number of its prompt tokens.
    pub fn record_request(&mut self, prompt_tokens: u64, now: time::Instant) {
        self.prompt_tokens.add(prompt_tokens as f64, now);
        self.streams.add(1.0, now);
    }

    /// Records a finished stream that held `tokens` of memory for `duration`.
    pub fn record_stream(&mut self, tokens: u64, duration: time::Duration) {
        let token_seconds = tokens as f64 * duration.as_secs_f64();
        self.average_use =
            PREVIOUS_WEIGHT * self.average_use + (1.0 - PREVIOUS_WEIGHT) * token_seconds;
    }

    /// Returns the demand over the window that ends now.
    pub fn rate(&mut self, now: time::Instant) -> DemandRate {
        let seconds = WINDOW.as_secs_f64();
        DemandRate {
            prompt: self.prompt_tokens.sum(now) / seconds,
            stream: self.streams.sum(now) / seconds * self.average_use,
        }
    }
}

impl Default for Demand {
    fn default() -> Self {
        Self::new()
    }
}
