//! How organisations have been served lately, so that the worst-served goes first among equals.

use std::collections;
use std::time;
use world::Name;

/// Time over which an organisation's use is remembered.
const WINDOW: time::Duration = time::Duration::from_secs(10);

/// How much of its allowance each organisation has been served lately.
#[derive(Clone, Debug, Default)]
pub struct RecentUsage {
    used: collections::BTreeMap<Name, Used>,
}

#[derive(Clone, Debug)]
struct Used {
    tokens: f64,
    at: time::Instant,
}

impl RecentUsage {
    /// Notes tokens that an organisation has been served.
    pub fn record(&mut self, organisation: &Name, tokens: u64, now: time::Instant) {
        let used = self.used.entry(organisation.clone()).or_insert(Used {
            tokens: 0.0,
            at: now,
        });
        used.decay(now);
        used.tokens += tokens as f64;
    }

    /// Gives the use as a part of the rate; 1 means exactly the rate.
    pub fn share(&mut self, organisation: &str, rate: u64, now: time::Instant) -> f64 {
        let Some(used) = self.used.get_mut(organisation) else {
            return 0.0;
        };
        used.decay(now);
        used.tokens / (rate as f64 * WINDOW.as_secs_f64())
    }
}

impl Used {
    fn decay(&mut self, now: time::Instant) {
        let gone = now.saturating_duration_since(self.at).as_secs_f64();
        self.tokens *= (-gone / WINDOW.as_secs_f64()).exp();
        self.at = self.at.max(now);
    }
}
