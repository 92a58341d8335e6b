//! How fast the machines of hosts are at the moment, as hosts that share theirs with others say
//! in their answers.
//!
//! The pace of such a machine changes within a second, so that what is known of it counts for a
//! moment only. What a host says can be wrong: it moves work between hosts, and keeps no host
//! from work.

use std::collections;
use std::time;
use world::Name;

/// How long a pace counts.
const EXPIRY: time::Duration = time::Duration::from_millis(600);
/// Slowest and fastest pace that is believed, as the time that work takes against the usual one.
const BELIEVED: (f64, f64) = (0.5, 5.0);
/// From this on, the pace of a machine is told to peers.
const TOLD_FROM: f64 = 1.3;

/// What the hosts of an entry have said of their machines.
#[derive(Clone, Debug, Default)]
pub struct MachinePaces {
    told: collections::BTreeMap<Name, (f64, time::Instant)>,
}

impl MachinePaces {
    /// Records the time that work takes at a host, against the usual one.
    pub fn record(&mut self, id: &Name, pace: f64, at: time::Instant) {
        let (least, most) = BELIEVED;
        if !pace.is_finite() || pace <= 0.0 {
            return;
        }
        let known = self.told.get(id).map(|(_, at)| *at);
        if known.is_none_or(|known| known < at) {
            let pace = pace.clamp(least, most);
            self.told.insert(id.clone(), (pace, at));
        }
    }

    /// Returns the time that work takes at a host, against the usual one; 1 where that is not
    /// known.
    pub fn factor(&self, id: &str, now: time::Instant) -> f64 {
        let told = self.told.get(id);
        let fresh = told.filter(|(_, at)| now.saturating_duration_since(*at) < EXPIRY);
        fresh.map_or(1.0, |(pace, _)| *pace)
    }

    /// Returns the hosts on slow machines for the peers, with their pace and its age in
    /// milliseconds.
    pub fn reports(&self, now: time::Instant) -> Vec<(Name, f64, u64)> {
        let age = |at: time::Instant| now.saturating_duration_since(at);
        let slow = self.told.iter().filter(|(_, (pace, _))| *pace >= TOLD_FROM);
        let fresh = slow.filter(|(_, (_, at))| age(*at) < EXPIRY / 2);
        let reports =
            fresh.map(|(id, (pace, at))| (id.clone(), *pace, age(*at).as_millis() as u64));
        reports.collect()
    }

    /// Applies what a peer told at `sent_at`.
    pub fn apply_reports(&mut self, reports: &[(Name, f64, u64)], sent_at: time::Instant) {
        for (id, pace, age_ms) in reports {
            let age = time::Duration::from_millis(*age_ms);
            if let Some(at) = sent_at.checked_sub(age).filter(|_| age < EXPIRY) {
                self.record(id, *pace, at);
            }
        }
    }

    /// Forgets the hosts that are not in the list.
    pub fn retain(&mut self, is_listed: impl Fn(&Name) -> bool) {
        self.told.retain(|id, _| is_listed(id));
    }
}
