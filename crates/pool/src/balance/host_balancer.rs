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
/// Longest time for which a host that was full again and again gets no test call.
const MAX_TEST_DELAY: time::Duration = time::Duration::from_millis(320);
/// A host that was full has no bound any more once it may have so many calls of this entry.
const MAX_WINDOW: f64 = 12.0;
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
    /// Refusals in a row.
    refusals: u32,
    /// Whether a call tests if the host has room again.
    is_tested: bool,
    /// Calls of this entry that the host may have at a time after it was full.
    window: Option<f64>,
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

    /// Does the same, and picks no host that is full or backed off. One that was full gets a
    /// single call, and after an answer one more at a time.
    pub fn pick_open(&self, zone: &str, tried: &[Name], now: time::Instant) -> Option<Name> {
        let notices = self.notices.borrow();
        let is_closed = |id: &Name, h: &Host| !h.is_open(now) || notices.is_filled(id, now);
        let closed = self.hosts.iter().filter(|(id, h)| is_closed(id, h));
        let mut passed_over: Vec<Name> = closed.map(|(id, _)| id.clone()).collect();
        drop(notices);
        passed_over.extend(tried.iter().cloned());
        let picked = self.pick(zone, &passed_over, now)?;
        let is_backed_off = self.failures.is_backed_off(&picked, now);
        (!is_backed_off).then_some(picked)
    }

    /// Returns whether one of the hosts that want calls is full, so that waiting helps.
    pub fn has_full_host(&self, now: time::Instant) -> bool {
        let notices = self.notices.borrow();
        let mut hosts = self.hosts.iter().filter(|(_, h)| h.ready);
        hosts.any(|(id, h)| {
            let is_closed = !h.is_open(now) || notices.is_filled(id, now);
            is_closed && notices.allows(id, now)
        })
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
            host.is_tested |= host.full_until.is_some();
        }
    }

    /// Records that a call to a host has ended.
    pub fn end_call(&mut self, id: &str) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.own_calls = host.own_calls.saturating_sub(1);
            host.is_tested &= host.own_calls > 0;
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
            host.refusals = 0;
            host.is_tested = false;
            host.window = host.window.map(|w| w + 1.0 / w).filter(|w| *w < MAX_WINDOW);
            self.failures.record_success(id);
        }
    }

    /// Records that a host refused a call because it was full.
    pub fn record_refusal(&mut self, id: &str, now: time::Instant) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.full_until = Some(now + FULL_BACKOFF);
            host.refusals = host.refusals.saturating_add(1);
            host.is_tested = false;
            let half = f64::from(host.own_calls) / 2.0;
            host.window = Some(host.window.map_or(half, |w| w.min(half)).max(1.0));
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

impl Host {
    /// Returns whether the host is likely to have room for a call.
    fn is_open(&self, now: time::Instant) -> bool {
        let has_room = self.window.is_none_or(|w| f64::from(self.own_calls) < w);
        let delay = FULL_BACKOFF.saturating_mul(1 << self.refusals.saturating_sub(1).min(2));
        let longer = delay.min(MAX_TEST_DELAY).saturating_sub(FULL_BACKOFF);
        let is_due = self.full_until.is_none_or(|at| at + longer <= now);
        has_room && is_due && !self.is_tested
    }
}
