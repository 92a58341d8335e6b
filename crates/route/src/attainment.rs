//! The fraction of each organisation's recent requests that met their targets, so
//! that the worst-served organisation can go first among equals.

use std::collections;
use std::time;
use world::Name;

/// Time constant of the exponential decay of a request's weight.
const DECAY_TIME: time::Duration = time::Duration::from_secs(10);
/// Total weight of requests from which a fraction is taken to be more than chance.
const MIN_WEIGHT: f64 = 3.0;

/// Fraction of each organisation's recent requests that met their targets, as
/// observed by one entry.
#[derive(Clone, Debug, Default)]
pub struct Attainment {
    samples: collections::BTreeMap<Name, Samples>,
}

/// Decaying number of requests of one organisation.
#[derive(Clone, Copy, Debug)]
struct Samples {
    /// Requests that met their targets.
    met: f64,
    /// All requests.
    total: f64,
    updated: time::Instant,
}

impl Attainment {
    /// Records a request that met its targets, or one that no longer can.
    pub fn record(&mut self, organisation: &Name, met: bool, now: time::Instant) {
        self.samples
            .retain(|_, samples| samples.decayed(now).total > 0.05);
        let samples = self.samples.entry(organisation.clone()).or_insert(Samples {
            met: 0.0,
            total: 0.0,
            updated: now,
        });
        *samples = samples.decayed(now);
        samples.met += f64::from(u8::from(met));
        samples.total += 1.0;
    }

    /// Returns by how much, from -1 to 1, an organisation's fraction exceeds the mean
    /// of all organisations that send requests; 0 with too few samples.
    pub fn lead(&self, organisation: &str, now: time::Instant) -> f64 {
        let fraction =
            |samples: &Samples| Some(samples.decayed(now)).filter(|s| s.total >= MIN_WEIGHT);
        let Some(own) = self.samples.get(organisation).and_then(fraction) else {
            return 0.0;
        };
        let fractions = self
            .samples
            .values()
            .filter_map(fraction)
            .map(Samples::fraction);
        let count = fractions.clone().count() as f64;
        own.fraction() - fractions.sum::<f64>() / count
    }
}

impl Samples {
    fn decayed(&self, now: time::Instant) -> Self {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let kept = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        Self {
            met: self.met * kept,
            total: self.total * kept,
            updated: self.updated.max(now),
        }
    }

    fn fraction(self) -> f64 {
        self.met / self.total
    }
}
