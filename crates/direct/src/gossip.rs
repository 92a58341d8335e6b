//! Messages by which entries share their load, use of allowances and other
//! state.

use crate::entry::Entry;
use crate::entry::Peer;
use crate::gate;
use crate::gossip_message::GossipMessage;
use crate::gossip_message::GossipReply;
use crate::gossip_message::RelayedMessage;
use crate::members::MemberList;
use std::collections;
use std::time;
use world::Name;

impl<P: seam::Platform> Entry<P> {
    /// Builds the message for the peers; with `full` it includes the prefill
    /// speeds, which rarely change.
    pub(crate) fn gossip_message(&self, full: bool, now: time::Instant) -> GossipMessage {
        let mut message = GossipMessage {
            entry: self.settings.host.clone(),
            address: Some(self.settings.peer_listen),
            zone: Some(self.settings.zone.clone()),
            uptime_ms: now.saturating_duration_since(self.started_at).as_millis() as u64,
            version: self.config_version(),
            list_revision: self.host_list.borrow().revision(),
            age_ms: u64::try_from(self.list_age(now).as_millis()).unwrap_or(u64::MAX),
            usage: self.rate_limiter.borrow_mut().report(now),
            demand: self.current_demand(now),
            is_holder: self.is_holder.get(),
            crash_update: self.crash_update(full, now),
            leaving: self.notices.borrow().own_leaving(now),
            evacuations: self.evacuations.borrow().report().cloned(),
            paces: self.notices.borrow().paces.reports(),
            slow_machines: self.notices.borrow().machines.reports(now),
            refused: self.recent_refusals(now),
            role_changes: self.remaining_role_changes(now),
            ..GossipMessage::default()
        };
        for (service, pool) in self.pools.all() {
            let bands = pool.band_reports(now);
            if !bands.is_empty() {
                message.bands.insert(service, bands);
            }
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

    /// Applies a peer's message and those that it passes on, and returns what this entry
    /// has newer than the peer.
    pub(crate) fn receive_gossip(
        &self,
        mut message: GossipMessage,
        now: time::Instant,
    ) -> GossipReply {
        let reply = self.gossip_reply(&message);
        for relayed in std::mem::take(&mut message.relayed) {
            let held = time::Duration::from_millis(relayed.held_ms);
            self.apply_gossip(relayed.message, pool::Heard::by_relay(held, now));
        }
        let forwarding = std::mem::take(&mut message.forwarding);
        let copy = (!forwarding.is_never()).then(|| message.clone());
        let is_new = self.apply_gossip(message, now.into());
        if let Some(copy) = copy.filter(|_| is_new) {
            self.keep_for_zone(copy, forwarding, now);
        }
        reply
    }

    /// Keeps a message that this entry passes on to its zone, unless it comes from there.
    fn keep_for_zone(
        &self,
        message: GossipMessage,
        forwarding: pool::Forwarding,
        now: time::Instant,
    ) {
        if message.zone.as_ref() == Some(&self.settings.zone) {
            return;
        }
        let mut queue = self.relay_queue.borrow_mut();
        queue.push(message.entry.clone(), message, now);
        if forwarding == pool::Forwarding::Now {
            self.relay_due.notify_one();
        }
    }

    /// Takes the messages that this entry passes on to its zone.
    pub(crate) fn take_relayed(&self, now: time::Instant) -> Vec<RelayedMessage> {
        let waiting = self.relay_queue.borrow_mut().take(now);
        let relayed = waiting.into_iter().map(|(held, message)| RelayedMessage {
            held_ms: u64::try_from(held.as_millis()).unwrap_or(u64::MAX),
            message,
        });
        relayed.collect()
    }

    /// Returns whether a message is newer than all others of its sender.
    fn is_new(&self, message: &GossipMessage, heard: pool::Heard) -> bool {
        let mut peers = self.peers.borrow_mut();
        let known = peers.get_mut(&message.entry);
        known.is_none_or(|p| p.order.record(message.id(heard)))
    }

    /// Applies a peer's message. Returns whether it was newer than all others of that
    /// peer; otherwise it changes nothing.
    fn apply_gossip(&self, message: GossipMessage, heard: pool::Heard) -> bool {
        let is_own = message.entry == self.settings.host;
        if (is_own && heard.is_relayed) || !self.is_new(&message, heard) {
            return false;
        }
        let (now, sent_at) = (heard.received_at, heard.sent_at);
        let peer = message.entry.clone();
        for (service, pool) in self.pools.all() {
            if let Some(order) = pool.shared_order.borrow_mut().as_mut() {
                let bands = message.bands.get(&service).map_or(&[][..], |b| b);
                order.update_peer(&peer, bands, heard);
            }
            let mut decode_pool = pool.decode_pool.borrow_mut();
            decode_pool.update_peer(&peer, message.decode_loads.clone(), heard);
            decode_pool
                .failures
                .update_peer(&peer, &message.failures, heard);
            drop(decode_pool);
            let mut prefill_pool = pool.prefill_pool.borrow_mut();
            prefill_pool.update_peer(&peer, message.prefill_tokens.clone(), heard);
            prefill_pool.add_peer_speeds(&message.speeds);
            prefill_pool
                .failures
                .update_peer(&peer, &message.failures, heard);
        }
        for (_, plain) in self.plain_services.all() {
            let mut balancer = plain.balancer.borrow_mut();
            balancer.update_peer(&peer, message.calls.clone(), heard);
            balancer
                .failures
                .update_peer(&peer, &message.failures, heard);
        }
        let mut rate_limiter = self.rate_limiter.borrow_mut();
        rate_limiter.update_peer(&peer, &message.usage, heard);
        drop(rate_limiter);
        self.apply_crash_update(&message.crash_update, &peer, sent_at);
        self.apply_role_changes(&message, heard);
        self.apply_leaving(&message, now);
        if let Some(report) = message
            .evacuations
            .clone()
            .filter(|_| self.has_evacuations())
        {
            self.apply_evacuations(report, &peer);
        }
        self.apply_refusals(&message.refused, now);
        let mut notices = self.notices.borrow_mut();
        notices.apply_paces(&peer, &message.paces, heard);
        notices
            .machines
            .apply_reports(&message.slow_machines, sent_at);
        drop(notices);
        self.record_peer(&peer, message, heard);
        true
    }

    /// Applies that upstream hosts are leaving, as they have told a peer.
    fn apply_leaving(&self, message: &GossipMessage, now: time::Instant) {
        let new = self.notices.borrow_mut().record_peer(&message.leaving, now);
        for host in &new {
            gate::log_leaving(host, &message.entry);
        }
        if !new.is_empty() {
            self.update_pools();
        }
    }

    /// Stores a peer's message. A peer that the store has not listed yet is
    /// added by its first message.
    fn record_peer(&self, peer: &Name, mut message: GossipMessage, heard: pool::Heard) {
        let mut peers = self.peers.borrow_mut();
        if let Some(known) = peers.get_mut(peer) {
            if let Some((_, old)) = known.last_message.take()
                && message.speeds.is_empty()
            {
                message.speeds = old.speeds;
            }
            known.zone = message.zone.clone();
            known.last_message = Some((heard, message));
        } else if let Some(address) = message.address.filter(|_| *peer != self.settings.host) {
            trace::LogLine::new("peer")
                .with("peer", peer)
                .with("address", address)
                .info();
            let mut added = Peer::new(address);
            added.order.record(message.id(heard));
            added.zone = message.zone.clone();
            added.last_message = Some((heard, message));
            peers.insert(peer.clone(), added);
        }
    }

    /// Returns the reply to a peer's message, with the membership list or its age only
    /// if this entry shares its list with that peer.
    fn gossip_reply(&self, message: &GossipMessage) -> GossipReply {
        let mut reply = GossipReply {
            version: self.config_version(),
            ..GossipReply::default()
        };
        let age = time::Duration::from_millis(message.age_ms);
        let same_zone = message.zone.as_ref() == Some(&self.settings.zone);
        if !pool::shares_member_list(self.reader_position(), same_zone, age) {
            return reply;
        }
        let own_age = self.list_age(time::Instant::now());
        let member_list = self.member_list.borrow().clone();
        match member_list {
            Some(member_list) if member_list.revision > message.list_revision => {
                reply.member_list = Some(MemberList::clone(&member_list));
            }
            Some(member_list) if member_list.revision == message.list_revision && own_age < age => {
                reply.age_ms = u64::try_from(own_age.as_millis()).ok();
            }
            Some(_) | None => {}
        }
        reply
    }

    /// Returns the number of engines whose prefill speed this entry has
    /// measured.
    pub(crate) fn known_speed_count(&self) -> usize {
        let pools = self.pools.all();
        let known = pools
            .iter()
            .map(|(_, p)| p.prefill_pool.borrow().speeds().len());
        known.sum()
    }

    /// Returns the version of the configuration in force; the lowest if there is none.
    pub(crate) fn config_version(&self) -> pool::ConfigVersion {
        let active = self.active_config();
        active.map_or_else(pool::ConfigVersion::default, |c| pool::ConfigVersion {
            number: c.config.version,
            era: c.era.get(),
        })
    }

    /// Returns the role changes that are still expected, for the peers.
    fn remaining_role_changes(
        &self,
        now: time::Instant,
    ) -> collections::BTreeMap<Name, (seam::Role, u64)> {
        let role_changes = self.role_changes.borrow();
        let remaining_ms = |until: time::Instant| until.saturating_duration_since(now).as_millis();
        role_changes
            .iter()
            .map(|(id, (role, until))| (id.clone(), (*role, remaining_ms(*until) as u64)))
            .filter(|(_, (_, remaining_ms))| *remaining_ms > 0)
            .collect()
    }

    /// Adds a peer's role changes. Changes that are known already stay as they are,
    /// because the entry that ordered one knows best when it ends.
    fn apply_role_changes(&self, message: &GossipMessage, heard: pool::Heard) {
        let mut role_changes = self.role_changes.borrow_mut();
        let before = role_changes.len();
        role_changes.retain(|_, (_, until)| *until > heard.received_at);
        for (id, (role, remaining_ms)) in &message.role_changes {
            let until = heard.sent_at + time::Duration::from_millis(*remaining_ms);
            role_changes.entry(id.clone()).or_insert((*role, until));
        }
        let changed = role_changes.len() != before;
        drop(role_changes);
        if changed {
            self.update_pools();
        }
    }

    /// Returns the age of this entry's membership list.
    pub(crate) fn list_age(&self, now: time::Instant) -> time::Duration {
        let read = self.host_list.borrow().read_at();
        read.map_or(time::Duration::MAX, |r| now.saturating_duration_since(r))
    }
}
