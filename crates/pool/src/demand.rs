//! How much engine time callers ask for.
//!
//! Both stages are measured by what arrives, not by what is in hand: a stage
//! that is short of engines holds up the other's work, and must not seem idle.

use crate::window::SlidingWindow;
use std::time;

/// Time over which demand is measured.
const SPAN: time::Duration = time::Duration::from_secs(8);
/// Weight of the past against each stream that has ended.
const WORK_MEMORY: f64 = 0.97;
/// Memory times time of one stream before any has ended, in token seconds.
const FIRST_WORK: f64 = 9_000.0;

/// What callers ask one entry for, of one service.
#[derive(Clone, Debug)]
pub struct Demand {
    prompts: SlidingWindow,
    streams: SlidingWindow,
    work: f64,
}

/// Demand as entries tell each other of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct DemandRate {
    /// Prompt tokens a second.
    pub prompt: f64,
    /// Memory times time that streams take, in token seconds a second.
    pub stream: f64,
}

impl Demand {
    /// Begins with nothing asked.
    pub fn new() -> Self {
        Self {
            prompts: SlidingWindow::new(SPAN),
            streams: SlidingWindow::new(SPAN),
            work: FIRST_WORK,
        }
    }

    /// Notes a stream that is asked for.
    pub fn record_request(&mut self, prompt: u64, now: time::Instant) {
        self.prompts.add(prompt as f64, now);
        self.streams.add(1.0, now);
    }

    /// Learns from a stream that held `tokens` of memory for `time`.
    pub fn record_stream(&mut self, tokens: u64, time: time::Duration) {
        let work = tokens as f64 * time.as_secs_f64();
        self.work = WORK_MEMORY * self.work + (1.0 - WORK_MEMORY) * work;
    }

    /// What is asked for now.
    pub fn rate(&mut self, now: time::Instant) -> DemandRate {
        let span = SPAN.as_secs_f64();
        DemandRate {
            prompt: self.prompts.sum(now) / span,
            stream: self.streams.sum(now) / span * self.work,
        }
    }
}

impl Default for Demand {
    fn default() -> Self {
        Self::new()
    }
}
