//! What entries tell each other.

use crate::crashes::Crash;
use crate::entry::Entry;
use crate::entry::MemberList;
use crate::entry::Peer;
use std::collections;
use std::net;
use std::time;
use world::Name;

/// What one entry tells a peer, a few times a second.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct GossipMessage {
    /// Who tells.
    pub(crate) entry: Name,
    /// Where it takes news.
    #[serde(default)]
    pub(crate) address: Option<net::SocketAddr>,
    /// The version of its configuration.
    pub(crate) version: u64,
    /// The store's revision of its list of upstream hosts.
    #[serde(rename = "listed")]
    pub(crate) list_revision: u64,
    /// The age of that list in milliseconds.
    pub(crate) age_ms: u64,
    /// Its streams, by engine.
    #[serde(rename = "seats")]
    pub(crate) decode_loads: collections::BTreeMap<Name, pool::EngineLoad>,
    /// Its prompts, by engine, in tokens.
    #[serde(rename = "lanes")]
    pub(crate) prefill_tokens: collections::BTreeMap<Name, u64>,
    /// Its calls, by host of plain services.
    pub(crate) calls: collections::BTreeMap<Name, u32>,
    /// What it has let through, by organisation.
    pub(crate) used: collections::BTreeMap<Name, f64>,
    /// How many milliseconds ago it was started again, while it doesn't know what
    /// it has let through before.
    #[serde(default)]
    pub(crate) restart_ms: Option<u64>,
    /// What callers ask it for, by service.
    #[serde(rename = "asked")]
    pub(crate) demand: collections::BTreeMap<Name, pool::DemandRate>,
    /// Prompt tokens a second that it has seen engines read; empty in most
    /// messages, the last ones told hold on.
    pub(crate) speeds: collections::BTreeMap<Name, f64>,
    /// Upstream hosts that it has seen fail, with the milliseconds of their rest.
    #[serde(default)]
    #[serde(rename = "faults")]
    pub(crate) failures: collections::BTreeMap<Name, u64>,
    /// Whether it holds the key of orders.
    #[serde(rename = "holds")]
    pub(crate) is_holder: bool,
    /// Crashes of upstream hosts over requests.
    pub(crate) crashes: Vec<Crash>,
    /// Engines that change their part, with the part to be and the
    /// milliseconds after which that is given up.
    #[serde(rename = "shifts")]
    pub(crate) role_changes: collections::BTreeMap<Name, (seam::Role, u64)>,
}

/// What a peer answers: what it knows better.
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct GossipReply {
    /// The version of its configuration.
    #[serde(default)]
    pub(crate) version: u64,
    /// A newer list of upstream hosts.
    #[serde(rename = "listing")]
    pub(crate) member_list: Option<MemberList>,
    /// The age in milliseconds of its list, where that is the same as the asker's
    /// but was read later.
    #[serde(default)]
    #[serde(rename = "confirmed")]
    pub(crate) age_ms: Option<u64>,
}

impl<P: seam::Platform> Entry<P> {
    /// What this entry tells its peers now; what hardly changes too if `whole`.
    pub(crate) fn gossip(&self, full: bool, now: time::Instant) -> GossipMessage {
        let mut rate_limiter = self.rate_limiter.borrow_mut();
        let (used, restart) = (
            rate_limiter.usage(now),
            rate_limiter.time_since_restart(now),
        );
        drop(rate_limiter);
        let mut message = GossipMessage {
            entry: self.settings.host.clone(),
            address: Some(self.settings.peer_listen),
            version: self.config_version(),
            list_revision: self.host_list.borrow().revision(),
            age_ms: u64::try_from(self.list_age(now).as_millis()).unwrap_or(u64::MAX),
            used,
            restart_ms: restart.and_then(|r| u64::try_from(r.as_millis()).ok()),
            demand: self.current_demand(now),
            is_holder: self.is_holder.get(),
            crashes: self.crashes_for_peers(now),
            role_changes: self.remaining_role_changes(now),
            ..GossipMessage::default()
        };
        for (_, pool) in self.pools.all() {
            let decode_pool = pool.decode_pool.borrow();
            message.decode_loads.extend(decode_pool.own_loads());
            message
                .failures
                .extend(decode_pool.failures.own_failures(now));
            let prefill_pool = pool.prefill_pool.borrow();
            message.prefill_tokens.extend(prefill_pool.own_backlogs());
            message
                .failures
                .extend(prefill_pool.failures.own_failures(now));
            if full {
                message.speeds.extend(prefill_pool.speeds());
            }
        }
        for (_, plain) in self.plain_services.all() {
            let balancer = plain.balancer.borrow();
            message.calls.extend(balancer.own_calls());
            message.failures.extend(balancer.failures.own_failures(now));
        }
        message
    }

    /// Hears a peer's news; tells what this entry knows better.
    pub(crate) fn apply_gossip(&self, message: GossipMessage, now: time::Instant) -> GossipReply {
        let peer = message.entry.clone();
        for (_, pool) in self.pools.all() {
            let mut decode_pool = pool.decode_pool.borrow_mut();
            decode_pool.update_peer(&peer, message.decode_loads.clone(), now);
            decode_pool
                .failures
                .update_peer(&peer, &message.failures, now);
            drop(decode_pool);
            let mut prefill_pool = pool.prefill_pool.borrow_mut();
            prefill_pool.update_peer(&peer, message.prefill_tokens.clone(), now);
            prefill_pool.add_peer_speeds(&message.speeds);
            prefill_pool
                .failures
                .update_peer(&peer, &message.failures, now);
        }
        for (_, plain) in self.plain_services.all() {
            let mut balancer = plain.balancer.borrow_mut();
            balancer.update_peer(&peer, message.calls.clone(), now);
            balancer.failures.update_peer(&peer, &message.failures, now);
        }
        let mut rate_limiter = self.rate_limiter.borrow_mut();
        let since = message.restart_ms.map(time::Duration::from_millis);
        rate_limiter.update_peer(&peer, message.used.clone(), since, now);
        drop(rate_limiter);
        for crash in &message.crashes {
            self.record_crash(crash, now);
        }
        self.apply_role_changes(&message, now);
        let reply = self.gossip_reply(&message);
        self.record_peer(&peer, message.address, message, now);
        reply
    }

    /// Keeps a peer's news; one that the store has not told of yet is known by them.
    fn record_peer(
        &self,
        peer: &Name,
        address: Option<net::SocketAddr>,
        message: GossipMessage,
        now: time::Instant,
    ) {
        let mut peers = self.peers.borrow_mut();
        if let Some(known) = peers.get_mut(peer) {
            let mut message = message;
            if let Some((_, old)) = known.news.take()
                && message.speeds.is_empty()
            {
                message.speeds = old.speeds;
            }
            known.news = Some((now, message));
        } else if let Some(address) = address.filter(|_| *peer != self.settings.host) {
            trace::Line::new("peer")
                .with("peer", peer)
                .with("address", address)
                .info();
            let added = Peer {
                address,
                news: Some((now, message)),
                retry_at: None,
            };
            peers.insert(peer.clone(), added);
        }
    }

    fn gossip_reply(&self, message: &GossipMessage) -> GossipReply {
        let mut reply = GossipReply {
            version: self.config_version(),
            ..GossipReply::default()
        };
        let age = time::Duration::from_millis(message.age_ms);
        if !pool::shares_host_list(self.position().0, age) {
            return reply;
        }
        let own = self.list_age(time::Instant::now());
        let member_list = self.member_list.borrow().clone();
        match member_list {
            Some(member_list) if member_list.revision > message.list_revision => {
                reply.member_list = Some(MemberList::clone(&member_list));
            }
            Some(member_list) if member_list.revision == message.list_revision && own < age => {
                reply.age_ms = u64::try_from(own.as_millis()).ok();
            }
            Some(_) | None => {}
        }
        reply
    }

    /// How many engines were seen to read prompts.
    pub(crate) fn known_speed_count(&self) -> usize {
        let pools = self.pools.all();
        let known = pools
            .iter()
            .map(|(_, p)| p.prefill_pool.borrow().speeds().len());
        known.sum()
    }

    /// The version of the configuration in force; 0 where there is none.
    pub(crate) fn config_version(&self) -> u64 {
        self.active_config().map_or(0, |c| c.config.version)
    }

    fn remaining_role_changes(
        &self,
        now: time::Instant,
    ) -> collections::BTreeMap<Name, (seam::Role, u64)> {
        let role_changes = self.role_changes.borrow();
        let left = |until: time::Instant| until.saturating_duration_since(now).as_millis();
        role_changes
            .iter()
            .map(|(id, (role, until))| (id.clone(), (*role, left(*until) as u64)))
            .filter(|(_, (_, left))| *left > 0)
            .collect()
    }

    /// Hears of engines that change their part; the one who ordered it tells
    /// last what becomes of it, so known ones are kept.
    fn apply_role_changes(&self, message: &GossipMessage, now: time::Instant) {
        let mut role_changes = self.role_changes.borrow_mut();
        let before = role_changes.len();
        role_changes.retain(|_, (_, until)| *until > now);
        for (id, (role, left)) in &message.role_changes {
            let until = now + time::Duration::from_millis(*left);
            role_changes.entry(id.clone()).or_insert((*role, until));
        }
        let changed = role_changes.len() != before;
        drop(role_changes);
        if changed {
            self.update_pools();
        }
    }

    /// The age of this entry's list of upstream hosts.
    pub(crate) fn list_age(&self, now: time::Instant) -> time::Duration {
        let read = self.host_list.borrow().read_at();
        read.map_or(time::Duration::MAX, |r| now.saturating_duration_since(r))
    }
}
