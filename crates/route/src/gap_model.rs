//! A model of one engine's time between tokens, learned from its own streams
//! because it differs from host to host and no engine reports it.

use std::time;

/// Factor that the weight of earlier samples decays by with each new sample.
const DECAY: f64 = 0.995;
/// Smallest variance of the occupancy from which a slope is fitted.
const MIN_VARIANCE: f64 = 1.0;
/// Total weight of samples from which the model makes predictions.
const MIN_WEIGHT: f64 = 20.0;

/// Predicts the time between tokens from the number of requests that an engine
/// decodes together.
///
/// This is a linear least-squares fit with exponentially decaying weights. It is
/// learned for each engine because hosts bought over the years differ in speed by
/// an unknown amount.
#[derive(Clone, Debug, Default)]
pub struct TokenGapModel {
    /// Sum of the weights of all samples.
    weight: f64,
    /// Weighted sum of the occupancies.
    occupancy_sum: f64,
    /// Weighted sum of the gaps, in seconds.
    gap_sum: f64,
    /// Weighted sum of the squares of the occupancies.
    square_sum: f64,
    /// Weighted sum of the products of occupancy and gap.
    product_sum: f64,
}

impl TokenGapModel {
    /// Adds a sample: the gap between two tokens of a stream while `occupancy`
    /// requests were decoded together.
    pub fn record(&mut self, occupancy: usize, gap: time::Duration) {
        let (occupancy, gap) = (occupancy as f64, gap.as_secs_f64());
        for (sum, new) in [
            (&mut self.weight, 1.0),
            (&mut self.occupancy_sum, occupancy),
            (&mut self.gap_sum, gap),
            (&mut self.square_sum, occupancy * occupancy),
            (&mut self.product_sum, occupancy * gap),
        ] {
            *sum = DECAY * *sum + new;
        }
    }

    /// Predicts the gap between tokens at an occupancy, or returns `None` while
    /// there are too few samples.
    pub fn predict(&self, occupancy: usize) -> Option<time::Duration> {
        if self.weight < MIN_WEIGHT {
            return None;
        }
        let (mean_occupancy, mean_gap) =
            (self.occupancy_sum / self.weight, self.gap_sum / self.weight);
        let variance = self.square_sum / self.weight - mean_occupancy * mean_occupancy;
        let slope = match variance > MIN_VARIANCE {
            true => {
                ((self.product_sum / self.weight - mean_occupancy * mean_gap) / variance).max(0.0)
            }
            false => 0.0,
        };
        let gap = mean_gap + slope * (occupancy as f64 - mean_occupancy);
        Some(time::Duration::from_secs_f64(gap.max(0.0)))
    }
}
