//! What transfers between availability zones cost, learnt from those that were made.

use std::collections;
use std::time;
use world::Name;

/// Transfer time assumed of a link never used, in seconds for each token.
const FIRST_COST: f64 = 20e-6;
/// Weight of the newest measurement.
const COST_WEIGHT: f64 = 0.2;

/// The links between availability zones, with their learnt cost.
#[derive(Clone, Debug, Default)]
pub struct TransferCosts {
    costs: collections::BTreeMap<(Name, Name), f64>,
}

impl TransferCosts {
    /// Learns from a transfer.
    pub fn record(&mut self, from: &Name, to: &Name, tokens: u64, took: time::Duration) {
        if tokens == 0 {
            return;
        }
        let cost = took.as_secs_f64() / tokens as f64;
        let known = self
            .costs
            .entry((from.clone(), to.clone()))
            .or_insert(FIRST_COST);
        *known += COST_WEIGHT * (cost - *known);
    }

    /// Expects a transfer's time.
    pub fn estimate(&self, from: &Name, to: &Name, tokens: u64) -> time::Duration {
        let cost = self.costs.get(&(from.clone(), to.clone()));
        let cost = cost.copied().unwrap_or(FIRST_COST);
        time::Duration::from_secs_f64(cost * tokens as f64)
    }
}
