//! Load balancing of calls over the hosts of a plain service.
//!
//! A call is sent to the host with the fewest calls in progress per slot. Hosts
//! in the entry's zone are preferred where that costs little. Hosts may fail
//! part of their calls while they look healthy, so a host with many recent
//! failures receives fewer calls.

use crate::balance::failures::HostFailures;
use crate::hosts::host_notices::SharedNotices;
use crate::peers::heard::Heard;
use crate::peers::peer_loads::PeerLoads;
use std::collections;
use std::time;
use world::Name;

/// How long a host that could not be reached receives no calls, at first.
const FIRST_BACKOFF: time::Duration = time::Duration::from_millis(500);
/// How long a host that was full receives no calls.
const FULL_BACKOFF: time::Duration = time::Duration::from_millis(80);
/// A host in another zone is picked only if its load per slot is lower by this.
const OTHER_ZONE_COST: f64 = 0.35;
/// Weight of the newest response in a host's average failure rate.
const FAILURE_WEIGHT: f64 = 0.12;
/// The failure rate that services have in normal operation.
const USUAL_FAILURE_RATE: f64 = 0.3;
/// Load per slot that is added per unit of failure rate above the usual.
const FAILURE_COST: f64 = 4.0;
/// A peer's report of its calls is valid for this time.
const PEER_EXPIRY: time::Duration = time::Duration::from_secs(2);

/// The hosts of one plain service, with their load and failures.
#[derive(Clone, Debug)]
pub struct HostBalancer {
    hosts: collections::BTreeMap<Name, Host>,
    /// Recent failures of the hosts, as seen here and reported by peers.
    pub failures: HostFailures,
    /// What the hosts have said of themselves.
    notices: SharedNotices,
    peer_calls: PeerLoads<u32>,
}

#[derive(Clone, Debug, Default)]
struct Host {
    zone: Option<Name>,
    slots: u32,
    /// Calls of this entry in progress.
    own_calls: u32,
    /// Average fraction of recent responses that report a failure.
    failure_rate: f64,
    full_until: Option<time::Instant>,
    ready: bool,
}

impl Default for HostBalancer {
    fn default() -> Self {
        Self {
            hosts: collections::BTreeMap::new(),
            failures: HostFailures::new(FIRST_BACKOFF),
            notices: SharedNotices::default(),
            peer_calls: PeerLoads::new(PEER_EXPIRY),
        }
    }
}

impl HostBalancer {
    /// Creates a pool without hosts, which shares what hosts say of themselves.
    pub fn new(notices: SharedNotices) -> Self {
        Self {
            notices,
            ..Self::default()
        }
    }

    /// Sets the hosts that are ready. A host that is no longer among them
    /// receives no new calls, and is removed once its last call has ended.
    pub fn set_hosts<'a>(&mut self, members: impl Iterator<Item = &'a seam::Member>) {
        for host in self.hosts.values_mut() {
            host.ready = false;
        }
        for member in members {
            let host = self.hosts.entry(member.id.clone()).or_default();
            host.zone = Some(member.zone.clone());
            host.slots = member.slots.max(1);
            host.ready = true;
        }
        self.hosts.retain(|_, h| h.ready || h.own_calls > 0);
        self.failures.set_hosts(self.hosts.keys());
    }

    /// Picks the host for a call by an entry in the given zone, except those in `tried`.
    /// Hosts that are full or backed off are picked only if no other is left, and hosts that
    /// want no call never.
    pub fn pick(&self, zone: &str, tried: &[Name], now: time::Instant) -> Option<Name> {
        let notices = self.notices.borrow();
        let candidates = self
            .hosts
            .iter()
            .filter(|(id, h)| h.ready && !tried.contains(id) && notices.allows(id, now));
        let (peer_calls, backed_off) =
            (self.peer_calls.by_host(now), self.failures.backed_off(now));
        let cost = |id: &Name, h: &Host| {
            let by_peers = peer_calls.get(&**id).copied().unwrap_or_default();
            let calls = h.own_calls.saturating_add(by_peers);
            let same_zone = h.zone.as_deref() == Some(zone);
            let failures = (h.failure_rate - USUAL_FAILURE_RATE).max(0.0) * FAILURE_COST;
            let is_full = h.full_until.is_some_and(|f| f > now) || notices.is_filled(id, now);
            let avoid = is_full || backed_off.contains(&**id);
            let load = f64::from(calls) / f64::from(h.slots);
            (
                avoid,
                load + failures + if same_zone { 0.0 } else { OTHER_ZONE_COST },
            )
        };
        let best = candidates.min_by(|a, b| {
            let (a, b) = (cost(a.0, a.1), cost(b.0, b.1));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        best.map(|(id, _)| id.clone())
    }

    /// Returns when the first host takes calls again, if all of them want none now.
    pub fn retry_at(&self, now: time::Instant) -> Option<time::Instant> {
        let ready = self.hosts.iter().filter(|(_, h)| h.ready);
        self.notices.borrow().retry_at(ready.map(|(id, _)| id), now)
    }

    /// Returns whether a call tests at the moment if one of the hosts, except those in
    /// `tried`, takes calls again.
    pub fn is_probing(&self, tried: &[Name], now: time::Instant) -> bool {
        let ready = self.hosts.iter().filter(|(_, h)| h.ready);
        let others = ready.map(|(id, _)| id).filter(|id| !tried.contains(id));
        self.notices.borrow().is_probing(others, now)
    }

    /// Records that a call is sent to a host.
    pub fn start_call(&mut self, id: &str) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.own_calls += 1;
        }
    }

    /// Records that a call to a host has ended.
    pub fn end_call(&mut self, id: &str) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.own_calls = host.own_calls.saturating_sub(1);
        }
    }

    /// Records a host's response; `failed` tells whether it reports a failure
    /// of the host itself.
    pub fn record_response(&mut self, id: &str, failed: bool) {
        if let Some(host) = self.hosts.get_mut(id) {
            let outcome = if failed { 1.0 } else { 0.0 };
            host.failure_rate =
                (1.0 - FAILURE_WEIGHT) * host.failure_rate + FAILURE_WEIGHT * outcome;
            host.full_until = None;
            self.failures.record_success(id);
        }
    }

    /// Records that a host refused a call because it was full.
    pub fn record_refusal(&mut self, id: &str, now: time::Instant) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.full_until = Some(now + FULL_BACKOFF);
        }
    }

    /// Records that a host could not be reached or that its connection broke.
    pub fn record_failure(&mut self, id: &str, now: time::Instant) {
        self.failures.record_failure(id, now);
    }

    /// Returns the number of this entry's own calls in progress, by host.
    pub fn own_calls(&self) -> collections::BTreeMap<Name, u32> {
        self.hosts
            .iter()
            .filter(|(_, h)| h.own_calls > 0)
            .map(|(id, h)| (id.clone(), h.own_calls))
            .collect()
    }

    /// Replaces a peer's report of its calls in progress, by host.
    pub fn update_peer(
        &mut self,
        peer: &Name,
        calls: collections::BTreeMap<Name, u32>,
        heard: impl Into<Heard>,
    ) {
        self.peer_calls.update(peer, calls, heard.into());
    }
}
