//! Learns how long responses are and how fast they grow, from those that are complete.

use crate::engines::forecast::LengthEstimate;
use std::time;

/// Least weight of a complete response against all earlier ones.
const MIN_WEIGHT: f64 = 0.02;
/// Spread of lengths, and of the callers' estimates around them, before any response
/// is complete: half of the responses are within a factor of 1.4.
const INITIAL_VARIANCE: f64 = 0.25;
/// Part of the longest response that a response is expected to have before any is
/// complete.
const INITIAL_PART: f64 = 0.5;
/// Expected duration of a response before any is complete.
const INITIAL_DURATION: time::Duration = time::Duration::from_secs(3);

/// Lengths and speeds of the responses of one service.
#[derive(Clone, Debug, Default)]
pub struct ResponseModel {
    /// Logarithm of the length in tokens.
    length: Average,
    /// Logarithm of the callers' estimates over the lengths.
    error: Average,
    /// Logarithm of the callers' estimates over the number of events.
    event_tokens: Average,
    /// Seconds between two events.
    interval: Average,
}

/// Moving average with its variance.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    count: u32,
    mean: f64,
    variance: f64,
}

impl Average {
    fn record(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(MIN_WEIGHT);
        let difference = value - self.mean;
        self.mean += weight * difference;
        self.variance = (1.0 - weight) * (self.variance + weight * difference * difference);
    }

    /// Returns the variance, which is not known from one or two values.
    fn variance(&self) -> f64 {
        let known = f64::from(self.count.saturating_sub(1));
        (self.variance * known + INITIAL_VARIANCE * 8.0) / (known + 8.0)
    }
}

impl ResponseModel {
    /// Records a complete response with its number of events, the time that it took
    /// and its caller's estimate of its length in tokens.
    pub fn record(&mut self, events: u64, duration: time::Duration, hint: Option<u64>) {
        if events == 0 {
            return;
        }
        self.interval.record(duration.as_secs_f64() / events as f64);
        if let Some(hint) = hint.filter(|h| *h > 0) {
            self.event_tokens.record((hint as f64 / events as f64).ln());
        }
        let length = (events as f64 * self.tokens_per_event()).ln();
        self.length.record(length);
        if let Some(hint) = hint.filter(|h| *h > 0) {
            self.error.record((hint as f64).ln() - length);
        }
    }

    /// Returns the tokens of an event, by the callers' estimates, which are right in
    /// the middle.
    pub fn tokens_per_event(&self) -> f64 {
        self.event_tokens.mean.exp()
    }

    /// Returns the tokens that a stream makes in a second, by its own pace where it
    /// has one already.
    pub fn rate(&self, own_interval: Option<time::Duration>, length: &LengthEstimate) -> f64 {
        if self.interval.count == 0 {
            return length.median / INITIAL_DURATION.as_secs_f64();
        }
        let interval = own_interval.map_or(self.interval.mean, |i| i.as_secs_f64());
        self.tokens_per_event() / interval.max(0.001)
    }

    /// Returns what is expected of a response of at most `max` tokens, with its
    /// caller's estimate: the mean of what such responses are like and of what the
    /// caller says, each weighted by how sure it is.
    pub fn estimate(&self, max: u64, hint: Option<u64>) -> LengthEstimate {
        let max = (max as f64).max(1.0);
        let (mean, variance) = match self.length.count {
            0 => ((max * INITIAL_PART).ln(), INITIAL_VARIANCE),
            _ => (self.length.mean, self.length.variance()),
        };
        let (mean, variance) = match hint.filter(|h| *h > 0) {
            None => (mean, variance),
            Some(hint) => {
                let (by_mean, by_hint) = (1.0 / variance, 1.0 / self.error.variance());
                let both = by_mean + by_hint;
                let mean = (mean * by_mean + (hint as f64).ln() * by_hint) / both;
                (mean, 1.0 / both)
            }
        };
        LengthEstimate {
            median: mean.exp().min(max),
            spread: variance.sqrt(),
            max,
        }
    }
}
