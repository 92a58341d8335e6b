//! An entry's view of all agents and its choice of agents for requests; see
//! docs/DESIGN.md, "Placement".

use crate::agent_view::AgentView;
use crate::agent_view::LoadReport;
use crate::decode_demand::DecodeDemand;
use crate::decode_demand::decode_load;
use crate::decode_demand::misses_target;
use crate::prefix_cache::CacheDelta;
use crate::prefix_cache::CacheEstimates;
use crate::prefix_cache::PrefixHashes;
use crate::transfer_costs::TransferCosts;
use conf::Policy;
use std::cmp;
use std::collections;
use std::time;
use world::Name;
use world::Role;

/// Number of decode agents at which a request bids at the same time; the first grant
/// wins.
const BIDS_PER_ROUND: usize = 4;

/// How long an agent is avoided after a failure there.
const FAILURE_AVOIDANCE: time::Duration = time::Duration::from_secs(2);

/// Time from the end of a transfer to the first token at the caller, including the
/// network hops.
const FIRST_TOKEN_TIME: time::Duration = time::Duration::from_millis(40);

/// The prefill agent chosen for a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefillChoice {
    /// Host of the agent.
    pub host: Name,
    /// Tokens of the prompt that its engine is estimated to have cached.
    pub cached_tokens: u64,
}

/// An entry's view of all agents and its choices among them.
///
/// The views may be outdated, so a choice is only a proposal: each agent decides by
/// its actual state whether to accept the request.
pub struct Fleet {
    policy: Policy,
    views: collections::BTreeMap<Name, AgentView>,
    caches: CacheEstimates,
    transfers: TransferCosts,
    /// Counts choices, so that equally good agents take turns.
    rotation: usize,
}

impl Fleet {
    /// Creates a fleet without agents.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            views: collections::BTreeMap::new(),
            caches: CacheEstimates::default(),
            transfers: TransferCosts::default(),
            rotation: 0,
        }
    }

    /// Adds an agent, or replaces one that has restarted.
    pub fn add_agent(&mut self, host: Name, view: AgentView) {
        self.caches.forget_host(&host);
        self.views.insert(host, view);
    }

    /// Removes an agent.
    pub fn remove_agent(&mut self, host: &str) {
        self.caches.forget_host(host);
        self.views.remove(host);
    }

    /// Replaces an agent's load by a new report.
    pub fn update_load(&mut self, host: &str, load: LoadReport) {
        if let Some(view) = self.views.get_mut(host) {
            view.load = load;
            view.sent_bids = 0;
            view.sent_tokens = 0;
        }
    }

    /// Records a failure at an agent, so that others are preferred for a while.
    pub fn record_failure(&mut self, host: &str, now: time::Instant) {
        if let Some(view) = self.views.get_mut(host) {
            view.avoid_until = Some(now + FAILURE_AVOIDANCE);
        }
    }

    /// Sets whether an agent accepts new requests.
    pub fn set_serving(&mut self, host: &str, serving: bool) {
        if let Some(view) = self.views.get_mut(host) {
            view.serving = serving;
        }
    }

    /// Chooses the decode agents at which a request bids. A request suspected of
    /// crashing engines goes to an agent without other suspects, so that a further
    /// crash identifies its cause.
    pub fn choose_decode(
        &mut self,
        demand: &DecodeDemand<'_>,
        suspect: bool,
        now: time::Instant,
    ) -> Vec<Name> {
        let mut hosts: Vec<Name> = self
            .candidates(demand.upstream, Role::Decode)
            .filter(|(_, v)| !suspect || v.suspects == 0)
            .map(|(name, _)| name.clone())
            .collect();
        self.avoid_failing(&mut hosts, now);
        self.rotate(&mut hosts);
        let limit = match self.policy {
            Policy::Goodput if !suspect => BIDS_PER_ROUND,
            _ => 1,
        };
        match self.policy {
            Policy::RoundRobin => {}
            Policy::LeastLoaded | Policy::Prefix => {
                hosts.sort_by_key(|name| decode_load(&self.views[name], demand.pieces));
            }
            Policy::Goodput => hosts.sort_by_key(|name| {
                let view = &self.views[name];
                (demand.mismatch(view), decode_load(view, demand.pieces))
            }),
        }
        hosts.truncate(limit);
        for name in &hosts {
            if let Some(view) = self.views.get_mut(name) {
                view.sent_bids += 1;
            }
        }
        hosts
    }

    /// Finds another decode agent with a free seat for a request that already waits
    /// at the agents in `bids`.
    pub fn find_free_seat(
        &mut self,
        upstream: &str,
        pieces: u32,
        suspect: bool,
        bids: &[Name],
    ) -> Option<Name> {
        let (name, _) = self
            .candidates(upstream, Role::Decode)
            .filter(|(name, v)| !bids.contains(name) && (!suspect || v.suspects == 0))
            .find(|(_, v)| v.load.free_seats > v.sent_bids && v.load.free_pieces >= pieces)?;
        let name = name.clone();
        if let Some(view) = self.views.get_mut(&name) {
            view.sent_bids += 1;
        }
        Some(name)
    }

    /// Chooses the prefill agent for a prompt of `tokens` tokens whose request holds
    /// a seat at `decode`. Returns `None` if there is no prefill agent.
    pub fn choose_prefill(
        &mut self,
        upstream: &str,
        decode: &str,
        tokens: u64,
        prefixes: &PrefixHashes,
        now: time::Instant,
    ) -> Option<PrefillChoice> {
        let mut hosts: Vec<Name> = self
            .candidates(upstream, Role::Prefill)
            .map(|(name, _)| name.clone())
            .collect();
        self.avoid_failing(&mut hosts, now);
        self.rotate(&mut hosts);
        let zone = self.views.get(decode).map(|v| v.zone.clone());
        let best = match self.policy {
            Policy::RoundRobin => hosts.into_iter().next(),
            Policy::LeastLoaded => hosts.into_iter().min_by_key(|h| self.queued_tokens(h)),
            Policy::Prefix => hosts.into_iter().min_by_key(|h| {
                (
                    cmp::Reverse(self.caches.cached_tokens(h, prefixes)),
                    self.queued_tokens(h),
                )
            }),
            Policy::Goodput => hosts
                .into_iter()
                .min_by_key(|h| self.estimate_prefill(h, zone.as_ref(), tokens, prefixes)),
        }?;
        let cached_tokens = self.caches.cached_tokens(&best, prefixes).min(tokens);
        if let Some(view) = self.views.get_mut(&best) {
            view.sent_tokens += tokens - cached_tokens;
        }
        self.caches.record_prompt(&best, prefixes);
        Some(PrefillChoice {
            host: best,
            cached_tokens,
        })
    }

    /// Returns whether there is a prefill agent without a recent failure.
    pub fn has_healthy_prefill(&self, upstream: &str, now: time::Instant) -> bool {
        self.candidates(upstream, Role::Prefill)
            .any(|(_, view)| view.is_healthy(now))
    }

    /// Estimates the time until a prompt's KV cache has arrived in the decode
    /// agent's zone; without a zone, until the prefill is done.
    pub fn estimate_prefill(
        &self,
        host: &str,
        zone: Option<&Name>,
        tokens: u64,
        prefixes: &PrefixHashes,
    ) -> time::Duration {
        let Some(view) = self.views.get(host) else {
            return time::Duration::MAX;
        };
        let uncached = tokens.saturating_sub(self.caches.cached_tokens(host, prefixes));
        let queued = view.load.backlog_tokens + view.sent_tokens;
        let rate = view.load.token_rate.max(1.0);
        let compute = time::Duration::from_secs_f64((queued + uncached) as f64 / rate);
        let transfer = zone.map_or(time::Duration::ZERO, |zone| {
            self.transfers.estimate(&view.zone, zone, tokens)
        });
        compute + transfer
    }

    /// Estimates the time from the grant of a seat to the first token at the caller,
    /// for the prefill agent where it is shortest and a decode agent in that agent's
    /// zone. The fixed time after the transfer is also a margin, because requests
    /// that are expected to be only just in time are usually late.
    pub fn estimate_first_token(
        &self,
        upstream: &str,
        tokens: u64,
        prefixes: &PrefixHashes,
    ) -> time::Duration {
        let prefill = self
            .candidates(upstream, Role::Prefill)
            .map(|(host, view)| self.estimate_prefill(host, Some(&view.zone), tokens, prefixes))
            .min();
        prefill.unwrap_or_default() + FIRST_TOKEN_TIME
    }

    /// Applies a change of an engine's prefix cache that its agent reported.
    pub fn apply_cache_delta(&mut self, host: &Name, delta: &CacheDelta) {
        if self.views.contains_key(host) {
            self.caches.apply_delta(host, delta);
        }
    }

    /// Corrects the estimate for a host whose engine had fewer tokens cached than
    /// expected when it ran a prefill.
    pub fn record_prefill(
        &mut self,
        host: &Name,
        prefixes: &PrefixHashes,
        expected: u64,
        cached: u64,
    ) {
        if cached < expected {
            self.caches.trim_prompt(host, prefixes, cached);
            self.caches.record_prompt(host, prefixes);
        }
    }

    /// Records the duration of a finished transfer between two hosts.
    pub fn record_transfer(&mut self, from: &str, to: &str, tokens: u64, took: time::Duration) {
        let zones = (self.views.get(from), self.views.get(to));
        if let (Some(from), Some(to)) = zones {
            let (from, to) = (from.zone.clone(), to.zone.clone());
            self.transfers.record(&from, &to, tokens, took);
        }
    }

    /// Updates the number of running suspects at a host: adds one if `starts`, and
    /// otherwise removes one that has ended.
    pub fn count_suspect(&mut self, host: &str, starts: bool) {
        if let Some(view) = self.views.get_mut(host) {
            view.suspects = match starts {
                true => view.suspects + 1,
                false => view.suspects.saturating_sub(1),
            };
        }
    }

    /// Returns whether any decode agent can serve one more stream within the target
    /// time between tokens. If none can, waiting for a better agent is useless.
    pub fn can_meet_target(&self, upstream: &str, gap_target: time::Duration) -> bool {
        self.candidates(upstream, Role::Decode)
            .any(|(_, view)| !misses_target(view, gap_target))
    }

    /// Chooses the least loaded agent of a plain service, except those in `excluded`;
    /// equally loaded ones take turns.
    pub fn choose_service(&mut self, upstream: &str, excluded: &[Name]) -> Option<Name> {
        let mut hosts = self.service_hosts(upstream);
        hosts.retain(|h| !excluded.contains(h));
        self.rotate(&mut hosts);
        hosts.sort_by_key(|name| self.views[name].load.waiting_requests);
        hosts.into_iter().next()
    }

    /// Lists the hosts of a plain service whose agents accept new requests.
    pub fn service_hosts(&self, upstream: &str) -> Vec<Name> {
        self.candidates(upstream, Role::Service)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Agents of an upstream in a role that accept new requests.
    fn candidates(&self, upstream: &str, role: Role) -> impl Iterator<Item = (&Name, &AgentView)> {
        self.views
            .iter()
            .filter(move |(_, v)| v.serving && v.role == role && &*v.upstream == upstream)
    }

    /// Removes agents with a recent failure, unless that would remove all of them.
    fn avoid_failing(&self, hosts: &mut Vec<Name>, now: time::Instant) {
        let healthy = |host: &Name| self.views[host].is_healthy(now);
        if hosts.iter().any(healthy) {
            hosts.retain(healthy);
        }
    }

    /// Uncached prompt tokens that wait or run at an agent, with those sent since its
    /// last report.
    fn queued_tokens(&self, host: &str) -> u64 {
        self.views
            .get(host)
            .map_or(u64::MAX, |v| v.load.backlog_tokens + v.sent_tokens)
    }

    /// Starts each choice at the next agent, so that equally good ones take turns.
    fn rotate(&mut self, hosts: &mut [Name]) {
        if hosts.is_empty() {
            return;
        }
        self.rotation = self.rotation.wrapping_add(1);
        let by = self.rotation % hosts.len();
        hosts.rotate_left(by);
    }
}
