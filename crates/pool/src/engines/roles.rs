//! Decides how many engines run prefill and how many run decode.
//!
//! Traffic shifts between long prompts and long answers, comes in bursts, and
//! engines crash. The engines are therefore divided in proportion to the engine
//! time that each stage takes. A change of role takes seconds, so it must be
//! wanted for some time first. Only if no engine runs prefill is one switched
//! immediately.

use std::time;
use world::Name;

/// How long a change must be wanted before an order is given.
const STABLE_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Shortest time between two orders while there are prefill engines.
const ORDER_INTERVAL: time::Duration = time::Duration::from_millis(2_500);
/// Fraction of the pool that runs prefill before any load has been measured:
/// with prompts of 3,000 tokens and answers of 900 steps, one prefill engine
/// supplies four decode engines.
const INITIAL_PREFILL_FRACTION: f64 = 0.22;
/// Weight of the initial division against the measured load, in engine seconds
/// per second.
const INITIAL_WEIGHT: f64 = 1.0;
/// From this number of engines on, at least two run prefill, so that one may
/// crash.
const MIN_REDUNDANT_ENGINES: usize = 6;
/// A change is wanted only if the target number of prefill engines differs from the
/// present one by more than this.
const HYSTERESIS: f64 = 0.6;
/// Where roles may change several at a time, one more does for each so many engines that have
/// the wrong role.
const ENGINES_PER_ORDER: f64 = 2.0;
/// With so many engines too many in prefill, some change before their speeds are known.
const MIN_EXCESS: f64 = 4.0;
/// Factor on the measured prefill load that reserves room for bursts; 1 reserves
/// none.
const HEADROOM: f64 = 1.0;

/// An engine whose role the balancer may change, with its state.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleCandidate {
    /// Identifies one run of the engine's process.
    pub id: Name,
    /// Its present role, or the role it was last ordered to take.
    pub role: seam::Role,
    /// Tokens of its streams and of its unfinished prompts.
    pub load: u64,
    /// Measured prefill speed in tokens per second.
    pub speed: Option<f64>,
    /// Whether it may be sent an order now.
    pub accepts_calls: bool,
}

/// An order to one engine to change its role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleChange {
    /// The engine's id.
    pub id: Name,
    /// The role it must take.
    pub role: seam::Role,
}

/// Decides on role changes of the engines of one service, one at a time.
#[derive(Clone, Debug)]
pub struct RoleBalancer {
    /// The role that more engines should have, and since when.
    wanted: Option<(seam::Role, time::Instant)>,
    last_order: Option<time::Instant>,
}

impl RoleBalancer {
    /// Starts without a wanted change or an earlier order.
    pub fn new() -> Self {
        Self {
            wanted: None,
            last_order: None,
        }
    }

    /// Returns the next order, if one is due. `prefill` and `decode` are the
    /// engine seconds per second that each stage takes at full batches, which
    /// is the number of engines it needs.
    pub fn decide(
        &mut self,
        engines: &[RoleCandidate],
        prefill: f64,
        decode: f64,
        now: time::Instant,
    ) -> Option<RoleChange> {
        self.decide_all(engines, prefill, decode, false, now).pop()
    }

    /// Returns the next orders. Where `several` may change at a time, their number follows from
    /// how far the roles are from what they should be: one at a time takes too long in a pool
    /// of many engines.
    pub fn decide_all(
        &mut self,
        engines: &[RoleCandidate],
        prefill: f64,
        decode: f64,
        several: bool,
        now: time::Instant,
    ) -> Vec<RoleChange> {
        let count = engines.len();
        if count < 2 {
            return Vec::new();
        }
        let prefill_count = with_role(engines, seam::Role::Prefill).count();
        let target = prefill_target(count, prefill, decode);
        let role = match prefill_count as f64 - target {
            excess if excess > HYSTERESIS && prefill_count > 1 => seam::Role::Decode,
            excess if excess < -HYSTERESIS && prefill_count + 1 < count => seam::Role::Prefill,
            _ => {
                self.wanted = None;
                return Vec::new();
            }
        };
        let urgent = prefill_count == 0;
        let since = match self.wanted {
            Some((wanted, since)) if wanted == role => since,
            _ => now,
        };
        self.wanted = Some((role, since));
        let stable = now.saturating_duration_since(since) >= STABLE_TIME;
        let interval_passed = self
            .last_order
            .is_none_or(|o| now.saturating_duration_since(o) >= ORDER_INTERVAL);
        let is_due = urgent || (stable && interval_passed);
        if !is_due {
            return Vec::new();
        }
        let distance = (prefill_count as f64 - target).abs();
        let orders = match several {
            true => (distance / ENGINES_PER_ORDER).max(1.0) as usize,
            false => 1,
        };
        let is_unmeasured = several && distance >= MIN_EXCESS;
        let mut left = engines.to_vec();
        let mut changes = Vec::new();
        for _ in 0..orders {
            let Some(id) = choose_engine(&left, role, is_unmeasured) else {
                break;
            };
            left.retain(|e| e.id != id);
            changes.push(RoleChange { id, role });
        }
        changes
    }

    /// Records that an order was given, or was tried in vain. The next one must be
    /// wanted for some time again, and waits for the order interval.
    pub fn record_order(&mut self, now: time::Instant) {
        self.last_order = Some(now);
        self.wanted = None;
    }
}

impl Default for RoleBalancer {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns how many engines should run prefill; the number need not be whole.
fn prefill_target(count: usize, prefill: f64, decode: f64) -> f64 {
    let prefill = prefill * HEADROOM + INITIAL_PREFILL_FRACTION * INITIAL_WEIGHT;
    let decode = decode + (1.0 - INITIAL_PREFILL_FRACTION) * INITIAL_WEIGHT;
    let fraction = prefill / (prefill + decode);
    let min_count = match count >= MIN_REDUNDANT_ENGINES {
        true => 2.0,
        false => 1.0,
    };
    (fraction * count as f64).clamp(min_count, count as f64 - 1.0)
}

fn with_role(engines: &[RoleCandidate], role: seam::Role) -> impl Iterator<Item = &RoleCandidate> {
    engines.iter().filter(move |e| e.role == role)
}

/// Picks the engine that takes the given role. Speed counts most in prefill, so
/// the fastest engine joins it and the slowest leaves it; among equals, the one
/// with the least load changes.
fn choose_engine(engines: &[RoleCandidate], role: seam::Role, is_unmeasured: bool) -> Option<Name> {
    let chosen = match role {
        seam::Role::Prefill => {
            let candidates = with_role(engines, seam::Role::Decode).filter(|e| e.accepts_calls);
            candidates.min_by(|a, b| {
                let by_speed = b.speed.unwrap_or(0.0).total_cmp(&a.speed.unwrap_or(0.0));
                by_speed.then(a.load.cmp(&b.load))
            })
        }
        seam::Role::Decode => {
            // While some speeds are unknown, the fastest engine might be picked, so
            // none is.
            let all_known = with_role(engines, seam::Role::Prefill).all(|e| e.speed.is_some());
            let all_known = all_known || is_unmeasured;
            let candidates =
                with_role(engines, seam::Role::Prefill).filter(|e| all_known && e.accepts_calls);
            candidates.min_by(|a, b| {
                let by_speed = a.speed.unwrap_or(0.0).total_cmp(&b.speed.unwrap_or(0.0));
                by_speed.then(a.load.cmp(&b.load))
            })
        }
    };
    chosen.map(|e| e.id.clone())
}
