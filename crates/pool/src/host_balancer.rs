//! Which host of a plain service gets a call.
//!
//! Answers uneven load and hosts that fail in part while they seem healthy: a
//! call goes where the fewest are in hand for each slot, in the caller's zone
//! where that costs little, and less to hosts that failed lately.

use crate::failures::HostFailures;
use crate::peer_loads::PeerLoads;
use std::collections;
use std::time;
use world::Name;

/// How long a host that could not be reached gets no calls, at first.
const FAULT_TIME: time::Duration = time::Duration::from_millis(500);
/// How long a host that was full gets no calls.
const FULL_TIME: time::Duration = time::Duration::from_millis(80);
/// Load for each slot by which a host of another zone must be better.
const ZONE_WORTH: f64 = 0.35;
/// Weight of one answer in a host's share of failures.
const FAILURE_WEIGHT: f64 = 0.12;
/// The share of failures that services have in sound times.
const FAILURE_USUAL: f64 = 0.3;
/// Load for each slot that a share of failures beyond that stands for.
const FAILURE_COST: f64 = 4.0;
/// After this silence a peer's calls count no more.
const PEER_MEMORY: time::Duration = time::Duration::from_secs(2);

/// A view of the hosts of one plain service.
#[derive(Clone, Debug)]
pub struct HostBalancer {
    hosts: collections::BTreeMap<Name, Host>,
    /// Which of them failed lately.
    pub failures: HostFailures,
    told: PeerLoads<u32>,
}

#[derive(Clone, Debug, Default)]
struct Host {
    zone: Option<Name>,
    slots: u32,
    own: u32,
    failing: f64,
    full: Option<time::Instant>,
    open: bool,
}

impl Default for HostBalancer {
    fn default() -> Self {
        Self {
            hosts: collections::BTreeMap::new(),
            failures: HostFailures::new(FAULT_TIME),
            told: PeerLoads::new(PEER_MEMORY),
        }
    }
}

impl HostBalancer {
    /// Takes the hosts that are ready.
    pub fn set_hosts<'a>(&mut self, members: impl Iterator<Item = &'a seam::Member>) {
        for host in self.hosts.values_mut() {
            host.open = false;
        }
        for member in members {
            let host = self.hosts.entry(member.id.clone()).or_default();
            host.zone = Some(member.zone.clone());
            host.slots = member.slots.max(1);
            host.open = true;
        }
        self.hosts.retain(|_, h| h.open || h.own > 0);
        self.failures.set_hosts(self.hosts.keys());
    }

    /// Picks a host, other than those tried; a resting one only where no other is left.
    pub fn pick(&self, zone: &str, tried: &[Name], now: time::Instant) -> Option<Name> {
        let open = self
            .hosts
            .iter()
            .filter(|(id, h)| h.open && !tried.contains(id));
        let (others, resting) = (self.told.all(now), self.failures.backed_off(now));
        let cost = |id: &Name, h: &Host| {
            let calls = h.own + others.get(&**id).copied().unwrap_or_default();
            let near = h.zone.as_deref() == Some(zone);
            let failing = (h.failing - FAILURE_USUAL).max(0.0) * FAILURE_COST;
            let rests = h.full.is_some_and(|f| f > now) || resting.contains(&**id);
            let load = f64::from(calls) / f64::from(h.slots);
            (rests, load + failing + if near { 0.0 } else { ZONE_WORTH })
        };
        let best = open.min_by(|a, b| {
            let (a, b) = (cost(a.0, a.1), cost(b.0, b.1));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        best.map(|(id, _)| id.clone())
    }

    /// Notes a call that is sent to a host.
    pub fn start_call(&mut self, id: &str) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.own += 1;
        }
    }

    /// Notes that a call has ended.
    pub fn end_call(&mut self, id: &str) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.own = host.own.saturating_sub(1);
        }
    }

    /// Notes a host's answer, and whether it was a failure of its own.
    pub fn record_answer(&mut self, id: &str, failed: bool) {
        if let Some(host) = self.hosts.get_mut(id) {
            let seen = if failed { 1.0 } else { 0.0 };
            host.failing = (1.0 - FAILURE_WEIGHT) * host.failing + FAILURE_WEIGHT * seen;
            host.full = None;
            self.failures.record_success(id);
        }
    }

    /// Notes that a host was full.
    pub fn record_refusal(&mut self, id: &str, now: time::Instant) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.full = Some(now + FULL_TIME);
        }
    }

    /// Notes that a host could not be reached, or broke off.
    pub fn record_failure(&mut self, id: &str, now: time::Instant) {
        self.failures.record_failure(id, now);
    }

    /// This entry's own calls, for its peers.
    pub fn own_calls(&self) -> collections::BTreeMap<Name, u32> {
        self.hosts
            .iter()
            .filter(|(_, h)| h.own > 0)
            .map(|(id, h)| (id.clone(), h.own))
            .collect()
    }

    /// Hears of a peer's calls.
    pub fn update_peer(
        &mut self,
        peer: &Name,
        calls: collections::BTreeMap<Name, u32>,
        now: time::Instant,
    ) {
        self.told.hear(peer, calls, now);
    }
}
