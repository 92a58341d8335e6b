//! An entry's views of all agents, and its choices among them; see docs/DESIGN.md, "Placement".

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

/// Decode agents that one request bids at; the first to grant wins.
const BIDS_PER_ROUND: usize = 4;

/// How long an agent is avoided after a failure there.
const AVOID_TIME: time::Duration = time::Duration::from_secs(2);

/// Time from an import to its first token, with the hops on the way.
const FIRST_TOKEN_TIME: time::Duration = time::Duration::from_millis(40);

/// An agent's load as it was last reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free decode seats.
    pub free_seats: u32,
    /// Free pieces of engine memory.
    pub free_pieces: u32,
    /// Bids that wait.
    pub waiting_bids: u32,
    /// Prompt tokens that wait.
    pub backlog_tokens: u64,
    /// Measured speed, in tokens per second.
    pub token_rate: f64,
    /// Streams' speed with all seats taken, in tokens per second; 0 where it
    /// isn't known yet.
    pub full_rate: f64,
}

/// What an entry believes of one agent.
#[derive(Clone, Debug)]
pub struct AgentView {
    /// Its availability zone.
    pub zone: Name,
    /// Its role.
    pub role: Role,
    /// Its upstream.
    pub upstream: Name,
    /// Whether it may be given work.
    pub serving: bool,
    /// Its load.
    pub load: LoadReport,
    /// Bids sent since the report.
    sent_bids: u32,
    /// Prompt tokens sent since the report.
    sent_tokens: u64,
    /// Suspects of crashes that run there now.
    suspects: u32,
    /// Until when it is avoided, after a failure there.
    avoid_until: Option<time::Instant>,
}

impl AgentView {
    /// Begins with an agent that has reported nothing yet.
    pub fn new(zone: Name, role: Role, upstream: Name) -> Self {
        Self {
            zone,
            role,
            upstream,
            serving: true,
            load: LoadReport::default(),
            sent_bids: 0,
            sent_tokens: 0,
            suspects: 0,
            avoid_until: None,
        }
    }

    /// Tells whether it has not failed lately.
    fn is_healthy(&self, now: time::Instant) -> bool {
        self.avoid_until.is_none_or(|until| until <= now)
    }
}

/// A prefill agent that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefillChoice {
    /// The agent's host.
    pub host: Name,
    /// Tokens that it has probably cached.
    pub cached_tokens: u64,
}

/// All agents as one entry sees them. The views may be stale: agents decide.
pub struct Fleet {
    policy: Policy,
    views: collections::BTreeMap<Name, AgentView>,
    estimates: CacheEstimates,
    transfers: TransferCosts,
    rotation: usize,
}

impl Fleet {
    /// Begins without agents.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            views: collections::BTreeMap::new(),
            estimates: CacheEstimates::default(),
            transfers: TransferCosts::default(),
            rotation: 0,
        }
    }

    /// Takes a new agent, or one that started anew.
    pub fn add_agent(&mut self, host: Name, view: AgentView) {
        self.estimates.forget_host(&host);
        self.views.insert(host, view);
    }

    /// Forgets an agent.
    pub fn remove_agent(&mut self, host: &str) {
        self.estimates.forget_host(host);
        self.views.remove(host);
    }

    /// Takes a report.
    pub fn update_load(&mut self, host: &str, load: LoadReport) {
        if let Some(view) = self.views.get_mut(host) {
            view.load = load;
            view.sent_bids = 0;
            view.sent_tokens = 0;
        }
    }

    /// Notes a failure at an agent: others are preferred for a while.
    pub fn record_failure(&mut self, host: &str, now: time::Instant) {
        if let Some(view) = self.views.get_mut(host) {
            view.avoid_until = Some(now + AVOID_TIME);
        }
    }

    /// Notes whether an agent may be given work.
    pub fn set_serving(&mut self, host: &str, serving: bool) {
        if let Some(view) = self.views.get_mut(host) {
            view.serving = serving;
        }
    }

    /// Chooses decode agents to bid at. A suspect of a crash goes where no
    /// other suspect runs, so that the guilty one is found.
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

    /// Finds another agent with a free seat for one that waits elsewhere.
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

    /// Chooses where to prefill for a seat at `decode`.
    pub fn choose_prefill(
        &mut self,
        upstream: &str,
        decode: &str,
        tokens: u64,
        blocks: &PrefixHashes,
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
                    cmp::Reverse(self.estimates.cached_tokens(h, blocks)),
                    self.queued_tokens(h),
                )
            }),
            Policy::Goodput => hosts
                .into_iter()
                .min_by_key(|h| self.estimate_prefill(h, zone.as_ref(), tokens, blocks)),
        }?;
        let cached_tokens = self.estimates.cached_tokens(&best, blocks).min(tokens);
        if let Some(view) = self.views.get_mut(&best) {
            view.sent_tokens += tokens - cached_tokens;
        }
        self.estimates.record_prompt(&best, blocks);
        Some(PrefillChoice {
            host: best,
            cached_tokens,
        })
    }

    /// Tells whether a prefill agent has not failed lately.
    pub fn has_healthy_prefill(&self, upstream: &str, now: time::Instant) -> bool {
        self.candidates(upstream, Role::Prefill)
            .any(|(_, view)| view.is_healthy(now))
    }

    /// Expects the time from now until a prompt's result is at a decode zone.
    pub fn estimate_prefill(
        &self,
        host: &str,
        zone: Option<&Name>,
        tokens: u64,
        blocks: &PrefixHashes,
    ) -> time::Duration {
        let Some(view) = self.views.get(host) else {
            return time::Duration::MAX;
        };
        let uncached = tokens.saturating_sub(self.estimates.cached_tokens(host, blocks));
        let queued = view.load.backlog_tokens + view.sent_tokens;
        let rate = view.load.token_rate.max(1.0);
        let compute = time::Duration::from_secs_f64((queued + uncached) as f64 / rate);
        let transfer = zone.map_or(time::Duration::ZERO, |zone| {
            self.transfers.estimate(&view.zone, zone, tokens)
        });
        compute + transfer
    }

    /// Expects the time from a grant to the first token, at the least busy
    /// prefill agent. A request that is promised its first token in time by a
    /// hair is late as a rule, so a margin is part of it.
    pub fn estimate_first_token(
        &self,
        upstream: &str,
        tokens: u64,
        blocks: &PrefixHashes,
    ) -> time::Duration {
        let prefill = self
            .candidates(upstream, Role::Prefill)
            .map(|(host, view)| self.estimate_prefill(host, Some(&view.zone), tokens, blocks))
            .min();
        prefill.unwrap_or_default() + FIRST_TOKEN_TIME
    }

    /// Takes what an agent tells of its engine's cache.
    pub fn apply_cache_delta(&mut self, host: &Name, delta: &CacheDelta) {
        if self.views.contains_key(host) {
            self.estimates.apply_delta(host, delta);
        }
    }

    /// Learns from a finished prefill how much was cached.
    pub fn record_prefill(
        &mut self,
        host: &Name,
        blocks: &PrefixHashes,
        expected: u64,
        cached: u64,
    ) {
        if cached < expected {
            self.estimates.correct(host, blocks, cached);
            self.estimates.record_prompt(host, blocks);
        }
    }

    /// Learns from a finished transfer.
    pub fn record_transfer(&mut self, from: &str, to: &str, tokens: u64, took: time::Duration) {
        let zones = (self.views.get(from), self.views.get(to));
        if let (Some(from), Some(to)) = zones {
            let (from, to) = (from.zone.clone(), to.zone.clone());
            self.transfers.record(&from, &to, tokens, took);
        }
    }

    /// Notes that a suspect of a crash begins or ends at a host.
    pub fn count_suspect(&mut self, host: &str, begins: bool) {
        if let Some(view) = self.views.get_mut(host) {
            view.suspects = match begins {
                true => view.suspects + 1,
                false => view.suspects.saturating_sub(1),
            };
        }
    }

    /// Tells whether any decode agent can give one more stream its pace. A
    /// target that none can meet is no reason to wait for a better one.
    pub fn can_meet_target(&self, upstream: &str, gap_target: time::Duration) -> bool {
        self.candidates(upstream, Role::Decode)
            .any(|(_, view)| !misses_target(view, gap_target))
    }

    /// Chooses an agent of a plain service: the least busy in its turn.
    pub fn choose_service(&mut self, upstream: &str, not: &[Name]) -> Option<Name> {
        let mut hosts = self.services(upstream);
        hosts.retain(|h| !not.contains(h));
        self.rotate(&mut hosts);
        hosts.sort_by_key(|name| self.views[name].load.waiting_bids);
        hosts.into_iter().next()
    }

    /// Lists the agents of a plain service that may be given work.
    pub fn services(&self, upstream: &str) -> Vec<Name> {
        self.candidates(upstream, Role::Service)
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn candidates(&self, upstream: &str, role: Role) -> impl Iterator<Item = (&Name, &AgentView)> {
        self.views
            .iter()
            .filter(move |(_, v)| v.serving && v.role == role && &*v.upstream == upstream)
    }

    /// Leaves out agents that failed lately, unless that leaves nobody.
    fn avoid_failing(&self, hosts: &mut Vec<Name>, now: time::Instant) {
        let healthy = |host: &Name| self.views[host].is_healthy(now);
        if hosts.iter().any(healthy) {
            hosts.retain(healthy);
        }
    }

    fn queued_tokens(&self, host: &str) -> u64 {
        self.views
            .get(host)
            .map_or(u64::MAX, |v| v.load.backlog_tokens + v.sent_tokens)
    }

    /// Begins each choice one further, so that equals are used in turn.
    fn rotate(&mut self, hosts: &mut [Name]) {
        if hosts.is_empty() {
            return;
        }
        self.rotation = self.rotation.wrapping_add(1);
        let by = self.rotation % hosts.len();
        hosts.rotate_left(by);
    }
}

/// What a request wants of a decode host.
#[derive(Clone, Copy, Debug)]
pub struct DecodeDemand<'a> {
    /// The pool.
    pub upstream: &'a str,
    /// Pieces of memory.
    pub pieces: u32,
    /// Its target between tokens.
    pub gap_target: time::Duration,
    /// The strictest target of any class.
    pub strictest_target: time::Duration,
}

impl DecodeDemand<'_> {
    /// Ranks a host by how it suits: 0 best. A host too slow for the strictest
    /// class when full can keep all its seats only for others, so they go there
    /// first and the strict ones last.
    fn mismatch(&self, view: &AgentView) -> u8 {
        let meets = |target: time::Duration| {
            let crowded = view.load.full_rate;
            crowded <= 0.0 || 1.0 / crowded <= target.as_secs_f64()
        };
        match (meets(self.gap_target), meets(self.strictest_target)) {
            (true, false) => 0,
            (true, true) => 1,
            (false, _) => 2,
        }
    }
}

/// Tells whether one more stream would be slower than its target there.
fn misses_target(view: &AgentView, gap_target: time::Duration) -> bool {
    view.load.token_rate > 0.0 && 1.0 / view.load.token_rate > gap_target.as_secs_f64()
}

/// Orders decode agents: those with room first, then by what waits.
fn decode_load(view: &AgentView, pieces: u32) -> (bool, u32, cmp::Reverse<u32>) {
    let free = view.load.free_seats.saturating_sub(view.sent_bids);
    let has_room = free > 0 && view.load.free_pieces >= pieces;
    let waiting = view.load.waiting_bids + view.sent_bids;
    (!has_room, waiting, cmp::Reverse(free))
}
