//! Memory that streams will hold at an engine over the next seconds.
//!
//! A stream holds its prompt at first and grows with each event, so that streams
//! that begin together fill an engine seconds later, all at the same time. An engine
//! that runs out of memory preempts a stream, which is read again from its start.

use std::ops;

/// Times from now, in seconds, for which memory is forecast.
const HORIZONS: [f64; 4] = [0.0, 0.7, 1.5, 3.0];
/// Slope by which the logistic function comes closest to the normal distribution.
const LOGISTIC_SLOPE: f64 = 1.702;

/// Standard deviations by which memory may pass what is expected before it counts as
/// too much.
const DEVIATIONS: f64 = 2.0;
/// Unit of the variance: its root is in thousands of tokens.
const VARIANCE_UNIT: f64 = 1e6;

/// Expected memory in tokens, now and at times within the next seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(from = "[u64; 6]", into = "[u64; 6]")]
pub struct MemoryForecast {
    at: [u64; HORIZONS.len()],
    /// Memory at the last of the times if no stream ends before.
    most: u64,
    /// Variance of the memory within the next seconds, in [`VARIANCE_UNIT`].
    variance: u64,
}

/// What is expected of a response's length before it is complete.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthEstimate {
    /// Length in tokens that half of such responses pass.
    pub median: f64,
    /// Standard deviation of the logarithm of the length.
    pub spread: f64,
    /// Most tokens that the response may have.
    pub max: f64,
}

impl MemoryForecast {
    /// Returns the forecast of memory that doesn't change.
    pub fn constant(tokens: u64) -> Self {
        Self {
            at: [tokens; HORIZONS.len()],
            most: tokens,
            variance: 0,
        }
    }

    /// Returns the forecast of a stream with the given prompt that has made `made`
    /// tokens so far and makes `rate` tokens per second.
    pub fn of_stream(prompt: u64, made: f64, rate: f64, length: &LengthEstimate) -> Self {
        let goes_on = length.survival(made).max(f64::MIN_POSITIVE);
        let (mut most, mut variance) = (0.0, 0.0_f64);
        let at = HORIZONS.map(|seconds| {
            let grown = made + rate * seconds;
            let alive = match seconds > 0.0 {
                true => length.survival(grown) / goes_on,
                false => 1.0,
            };
            let held = prompt as f64 + grown.min(length.max);
            most = held;
            variance = variance.max(held * held * alive * (1.0 - alive));
            (held * alive).round() as u64
        });
        Self {
            at,
            most: most.round() as u64,
            variance: (variance / VARIANCE_UNIT).round() as u64,
        }
    }

    /// Returns the memory that is held now.
    pub fn now(&self) -> u64 {
        self.at[0]
    }

    /// Returns the most memory that is likely at any of the times.
    pub fn peak(&self) -> u64 {
        let deviation = (self.variance as f64 * VARIANCE_UNIT).sqrt() * DEVIATIONS;
        let later = self.at[1..].iter().max().copied().unwrap_or_default();
        let likely = later.saturating_add(deviation as u64);
        self.now().max(likely).min(self.most)
    }

    /// Returns this forecast without the part of another one.
    pub fn without(self, part: Self) -> Self {
        self.combine(part, u64::saturating_sub)
    }

    fn combine(self, other: Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        let mut at = self.at;
        for (tokens, other) in at.iter_mut().zip(other.at) {
            *tokens = combine(*tokens, other);
        }
        Self {
            at,
            most: combine(self.most, other.most),
            variance: combine(self.variance, other.variance),
        }
    }
}

impl ops::Add for MemoryForecast {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        self.combine(other, u64::saturating_add)
    }
}

impl From<[u64; 6]> for MemoryForecast {
    fn from([now, soon, later, last, most, variance]: [u64; 6]) -> Self {
        Self {
            at: [now, soon, later, last],
            most,
            variance,
        }
    }
}

impl From<MemoryForecast> for [u64; 6] {
    fn from(forecast: MemoryForecast) -> Self {
        let [now, soon, later, last] = forecast.at;
        [now, soon, later, last, forecast.most, forecast.variance]
    }
}

impl LengthEstimate {
    /// Returns the probability that the response is longer than `tokens`.
    fn survival(&self, tokens: f64) -> f64 {
        if tokens >= self.max {
            return 0.0;
        }
        if tokens <= 0.0 {
            return 1.0;
        }
        let deviations = (tokens / self.median.max(1.0)).ln() / self.spread.max(0.05);
        1.0 / (1.0 + (LOGISTIC_SLOPE * deviations).exp())
    }
}
