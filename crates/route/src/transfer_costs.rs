//! Estimates of the KV cache transfer time between availability zones, learned
//! from finished transfers.

use std::collections;
use std::time;
use world::Name;

/// Transfer time assumed before the first measurement, in seconds per token.
const INITIAL_COST: f64 = 20e-6;
/// Weight of the newest measurement in the moving average.
const NEW_WEIGHT: f64 = 0.2;

/// Transfer cost between each pair of availability zones, in seconds per token.
#[derive(Clone, Debug, Default)]
pub struct TransferCosts {
    costs: collections::BTreeMap<(Name, Name), f64>,
}

impl TransferCosts {
    /// Records a finished transfer of `tokens` prompt tokens; one of 0 tokens is
    /// ignored.
    pub fn record(&mut self, from: &Name, to: &Name, tokens: u64, took: time::Duration) {
        if tokens == 0 {
            return;
        }
        let cost = took.as_secs_f64() / tokens as f64;
        let average = self
            .costs
            .entry((from.clone(), to.clone()))
            .or_insert(INITIAL_COST);
        *average += NEW_WEIGHT * (cost - *average);
    }

    /// Estimates how long a transfer of `tokens` prompt tokens takes.
    pub fn estimate(&self, from: &Name, to: &Name, tokens: u64) -> time::Duration {
        let cost = self.costs.get(&(from.clone(), to.clone()));
        let cost = cost.copied().unwrap_or(INITIAL_COST);
        time::Duration::from_secs_f64(cost * tokens as f64)
    }
}
