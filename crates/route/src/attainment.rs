//! How often organisations' requests have met their targets lately, so that the
//! worst-served goes first among equals.

use std::collections;
use std::time;
use world::Name;

/// Time over which a request counts.
const WINDOW: time::Duration = time::Duration::from_secs(10);
/// Requests, by weight, that tell an attainment from chance.
const LEAST: f64 = 3.0;

/// How much of each organisation's work has met its targets lately, as one entry
/// has seen it.
#[derive(Clone, Debug, Default)]
pub struct Attainment {
    seen: collections::BTreeMap<Name, Seen>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    met: f64,
    all: f64,
    at: time::Instant,
}

impl Attainment {
    /// Notes a request that met its targets, or can no longer.
    pub fn note(&mut self, organisation: &Name, met: bool, now: time::Instant) {
        self.seen.retain(|_, seen| seen.faded(now).all > 0.05);
        let seen = self.seen.entry(organisation.clone()).or_insert(Seen {
            met: 0.0,
            all: 0.0,
            at: now,
        });
        *seen = seen.faded(now);
        seen.met += f64::from(u8::from(met));
        seen.all += 1.0;
    }

    /// Tells by how much, from -1 to 1, an organisation is served better than
    /// the mean of all that send; 0 where too little is known.
    pub fn ahead(&self, organisation: &str, now: time::Instant) -> f64 {
        let part = |seen: &Seen| Some(seen.faded(now)).filter(|s| s.all >= LEAST);
        let Some(own) = self.seen.get(organisation).and_then(part) else {
            return 0.0;
        };
        let parts = self.seen.values().filter_map(part).map(Seen::part);
        let count = parts.clone().count() as f64;
        own.part() - parts.sum::<f64>() / count
    }
}

impl Seen {
    fn faded(&self, now: time::Instant) -> Self {
        let gone = now.saturating_duration_since(self.at).as_secs_f64();
        let kept = (-gone / WINDOW.as_secs_f64()).exp();
        Self {
            met: self.met * kept,
            all: self.all * kept,
            at: self.at.max(now),
        }
    }

    fn part(self) -> f64 {
        self.met / self.all
    }
}
