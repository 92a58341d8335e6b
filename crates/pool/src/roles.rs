//! How many engines read prompts and how many generate.
//!
//! Answers traffic that shifts between long prompts and long answers, bursts,
//! and engines that crash: the pool is divided in proportion to the engine time
//! that each role takes. A change takes seconds, so the wish must hold for a
//! while first, and an emptied role is refilled at once.

use std::time;
use world::Name;

/// How long another division must be wanted before an order is given.
const WISH_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Least time between two orders while both stages have engines.
const ORDER_GAP: time::Duration = time::Duration::from_millis(2_500);
/// Part of the pool that reads prompts before any load was seen: with prompts
/// of 3,000 tokens and answers of 900 steps, a prefill engine feeds four others.
const FIRST_PART: f64 = 0.22;
/// Engines' time a second that the first part counts for, against what is seen.
const FIRST_WEIGHT: f64 = 1.0;
/// From so many engines on, two read prompts at least, so that one may crash.
const SPARE_COUNT: usize = 6;
/// How far the wish must be from the present division, in engines.
const HYSTERESIS: f64 = 0.6;
/// Least part of a prefill engine's time that must be left for bursts.
const HEADROOM: f64 = 1.0;

/// An engine that takes orders.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineStatus {
    /// Names the life of its process.
    pub id: Name,
    /// What it does now, or was ordered to do last.
    pub role: seam::Role,
    /// Tokens that wait or lie there.
    pub load: u64,
    /// How many prompt tokens it reads a second, where that was seen.
    pub speed: Option<f64>,
}

/// One change of an engine's part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleChange {
    /// The engine.
    pub id: Name,
    /// The part it is to take.
    pub role: seam::Role,
}

/// The division of one service's engines.
#[derive(Clone, Debug)]
pub struct RoleBalancer {
    wish: Option<(seam::Role, time::Instant)>,
    ordered: Option<time::Instant>,
}

impl RoleBalancer {
    /// Begins without a wish.
    pub fn new() -> Self {
        Self {
            wish: None,
            ordered: None,
        }
    }

    /// Decides on the next order, if any. `prefill` and `decode` are engines'
    /// time a second that each role takes at full batches, in engines.
    pub fn decide(
        &mut self,
        engines: &[EngineStatus],
        prefill: f64,
        decode: f64,
        now: time::Instant,
    ) -> Option<RoleChange> {
        let count = engines.len();
        if count < 2 {
            return None;
        }
        let readers = of(engines, seam::Role::Prefill).count();
        let wanted = wanted(count, prefill, decode);
        let role = match readers as f64 - wanted {
            over if over > HYSTERESIS && readers > 1 => seam::Role::Decode,
            over if over < -HYSTERESIS && readers + 1 < count => seam::Role::Prefill,
            _ => {
                self.wish = None;
                return None;
            }
        };
        let urgent = readers == 0;
        let since = match self.wish {
            Some((wish, since)) if wish == role => since,
            _ => now,
        };
        self.wish = Some((role, since));
        let held = now.saturating_duration_since(since) >= WISH_TIME;
        let rested = self
            .ordered
            .is_none_or(|o| now.saturating_duration_since(o) >= ORDER_GAP);
        let due = urgent || (held && rested);
        let id = due.then(|| choose(engines, role)).flatten()?;
        Some(RoleChange { id, role })
    }

    /// Notes that an order was given.
    pub fn record_order(&mut self, now: time::Instant) {
        self.ordered = Some(now);
        self.wish = None;
    }
}

impl Default for RoleBalancer {
    fn default() -> Self {
        Self::new()
    }
}

/// Engines that should read prompts, as a number with a fraction.
fn wanted(count: usize, prefill: f64, decode: f64) -> f64 {
    let prefill = prefill * HEADROOM + FIRST_PART * FIRST_WEIGHT;
    let decode = decode + (1.0 - FIRST_PART) * FIRST_WEIGHT;
    let part = prefill / (prefill + decode);
    let least = match count >= SPARE_COUNT {
        true => 2.0,
        false => 1.0,
    };
    (part * count as f64).clamp(least, count as f64 - 1.0)
}

fn of(engines: &[EngineStatus], part: seam::Role) -> impl Iterator<Item = &EngineStatus> {
    engines.iter().filter(move |e| e.role == part)
}

/// Picks whom to order: slow engines leave the prompts, where their time counts
/// most, and else the one with the least to do.
fn choose(engines: &[EngineStatus], part: seam::Role) -> Option<Name> {
    let least = match part {
        seam::Role::Prefill => of(engines, seam::Role::Decode).min_by(|a, b| {
            let speeds = b.speed.unwrap_or(0.0).total_cmp(&a.speed.unwrap_or(0.0));
            speeds.then(a.load.cmp(&b.load))
        }),
        seam::Role::Decode => {
            // Before all are known, the fastest might be sent away.
            let known = of(engines, seam::Role::Prefill).all(|e| e.speed.is_some());
            let readers = of(engines, seam::Role::Prefill).filter(|_| known);
            readers.min_by(|a, b| {
                let speeds = a.speed.unwrap_or(0.0).total_cmp(&b.speed.unwrap_or(0.0));
                speeds.then(a.load.cmp(&b.load))
            })
        }
    };
    least.map(|e| e.id.clone())
}
