//! The speed of one engine's streams, which nobody tells and which differs from host to host.

use std::time;

/// Weight of the past against each new measurement.
const MEMORY: f64 = 0.995;
/// Least spread of occupancy, as a variance, that tells its effect.
const LEAST_SPREAD: f64 = 1.0;
/// Least measurements, by weight, before anything is predicted.
const LEAST_WEIGHT: f64 = 20.0;

/// How the time between tokens grows with the requests that an engine decodes
/// together, learnt from its streams by a fading linear fit.
///
/// Hosts bought over years differ; nobody tells how much.
#[derive(Clone, Debug, Default)]
pub struct TokenGapModel {
    weight: f64,
    occupancy: f64,
    gap: f64,
    square: f64,
    product: f64,
}

impl TokenGapModel {
    /// Learns from one gap between tokens at an occupancy.
    pub fn record(&mut self, occupancy: usize, gap: time::Duration) {
        let (n, g) = (occupancy as f64, gap.as_secs_f64());
        for (sum, new) in [
            (&mut self.weight, 1.0),
            (&mut self.occupancy, n),
            (&mut self.gap, g),
            (&mut self.square, n * n),
            (&mut self.product, n * g),
        ] {
            *sum = MEMORY * *sum + new;
        }
    }

    /// Expects the gap at an occupancy; none before enough was measured.
    pub fn predict(&self, occupancy: usize) -> Option<time::Duration> {
        if self.weight < LEAST_WEIGHT {
            return None;
        }
        let (n, g) = (self.occupancy / self.weight, self.gap / self.weight);
        let spread = self.square / self.weight - n * n;
        let slope = match spread > LEAST_SPREAD {
            true => ((self.product / self.weight - n * g) / spread).max(0.0),
            false => 0.0,
        };
        let gap = g + slope * (occupancy as f64 - n);
        Some(time::Duration::from_secs_f64(gap.max(0.0)))
    }
}
