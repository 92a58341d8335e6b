//! Recent token usage of each organisation. Among requests of equal urgency, the
//! organisation that used the smallest share of its rate goes first.

use std::collections;
use std::time;
use world::Name;

/// Time constant of the exponential decay of an organisation's usage.
const DECAY_TIME: time::Duration = time::Duration::from_secs(10);

/// Exponentially decaying count of the tokens each organisation was served.
#[derive(Clone, Debug, Default)]
pub struct RecentUsage {
    usage: collections::BTreeMap<Name, Usage>,
}

#[derive(Clone, Debug)]
struct Usage {
    tokens: f64,
    updated: time::Instant,
}

impl RecentUsage {
    /// Records tokens that an organisation was served.
    pub fn record(&mut self, organisation: &Name, tokens: u64, now: time::Instant) {
        let usage = self.usage.entry(organisation.clone()).or_insert(Usage {
            tokens: 0.0,
            updated: now,
        });
        usage.decay(now);
        usage.tokens += tokens as f64;
    }

    /// Returns an organisation's recent usage as a fraction of `rate`, its tokens
    /// per second. It is 1 for usage at exactly that rate and 0 without any usage.
    pub fn share(&mut self, organisation: &str, rate: u64, now: time::Instant) -> f64 {
        let Some(usage) = self.usage.get_mut(organisation) else {
            return 0.0;
        };
        usage.decay(now);
        usage.tokens / (rate as f64 * DECAY_TIME.as_secs_f64())
    }
}

impl Usage {
    fn decay(&mut self, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.tokens *= (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        self.updated = self.updated.max(now);
    }
}
