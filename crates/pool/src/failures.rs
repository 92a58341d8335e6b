//! Upstream hosts that failed lately, by what this entry and its peers saw.
//!
//! Answers crashes and lost answers at many entries: each failed try costs a
//! request or a prompt read in vain, and without news every entry would make its
//! own. One that failed rests, longer each time, and is then tried by one request;
//! what two peers say of it counts as well. A single peer, or one that finds most
//! hosts failed, may itself be cut off and counts for nothing.

use std::collections;
use std::time;
use world::Name;

/// The longest pause; it doubles with each failure in a row.
const REST_MOST: time::Duration = time::Duration::from_secs(4);
/// How much longer a host rests for peers of those who saw it fail, so that these
/// try it first and tell: one message's time and what a try takes.
const HEARD_MARGIN: time::Duration = time::Duration::from_millis(400);
/// Peers that must have seen a host fail.
const WITNESSES: usize = 2;

/// Failures of the upstream hosts of one service.
#[derive(Clone, Debug)]
pub struct HostFailures {
    first: time::Duration,
    known: collections::BTreeSet<Name>,
    own: collections::BTreeMap<Name, Fault>,
    heard: collections::BTreeMap<Name, collections::BTreeMap<Name, time::Instant>>,
}

#[derive(Clone, Copy, Debug)]
struct Fault {
    until: time::Instant,
    count: u32,
}

impl HostFailures {
    /// Begins without failures; a host rests for `first` after one.
    pub fn new(first: time::Duration) -> Self {
        Self {
            first,
            known: collections::BTreeSet::new(),
            own: collections::BTreeMap::new(),
            heard: collections::BTreeMap::new(),
        }
    }

    /// Takes the hosts that are known now, and forgets others.
    pub fn set_hosts<'a>(&mut self, hosts: impl Iterator<Item = &'a Name>) {
        self.known = hosts.cloned().collect();
        self.own.retain(|id, _| self.known.contains(id));
    }

    /// Notes that a host has failed; one that is not known counts for nothing.
    pub fn record_failure(&mut self, id: &str, now: time::Instant) {
        if !self.known.contains(id) {
            return;
        }
        let count = self.own.get(id).map_or(0, |f| f.count);
        let pause = self.first.saturating_mul(1 << count.min(4));
        let fault = Fault {
            until: now + pause.min(REST_MOST),
            count: count + 1,
        };
        self.own.insert(Name::from(id), fault);
    }

    /// Notes that a host has done as it was asked.
    pub fn record_success(&mut self, id: &str) {
        self.own.remove(id);
    }

    /// Notes that a host is tried: one that has failed gets nothing else until
    /// this try has shown whether it works again.
    pub fn record_attempt(&mut self, id: &str, now: time::Instant) {
        if let Some(fault) = self.own.get_mut(id) {
            fault.until = fault.until.max(now + self.first);
        }
    }

    /// Tells whether a host gets nothing for now.
    pub fn is_backed_off(&self, id: &str, now: time::Instant) -> bool {
        self.backed_off(now).contains(id)
    }

    /// The hosts that get nothing for now.
    pub fn backed_off(&self, now: time::Instant) -> collections::BTreeSet<&str> {
        let mut witnesses: collections::BTreeMap<&str, usize> = collections::BTreeMap::new();
        let heard = self.heard.values().flatten();
        for (id, _) in heard.filter(|(_, until)| **until > now) {
            *witnesses.entry(id).or_default() += 1;
        }
        let believed = witnesses.into_iter().filter(|(_, n)| *n >= WITNESSES);
        let own = self.own.iter().filter(|(_, f)| f.until > now);
        let own = own.map(|(id, _)| &**id);
        own.chain(believed.map(|(id, _)| id)).collect()
    }

    /// What this entry has seen fail, with the milliseconds for which it rests.
    pub fn own_failures(&self, now: time::Instant) -> collections::BTreeMap<Name, u64> {
        let left = |f: &Fault| f.until.saturating_duration_since(now).as_millis();
        let all = self.own.iter();
        all.map(|(id, f)| (id.clone(), u64::try_from(left(f)).unwrap_or(u64::MAX)))
            .filter(|(_, left)| *left > 0)
            .collect()
    }

    /// Hears what a peer has seen fail; of hosts of other services it is left out.
    pub fn update_peer(
        &mut self,
        peer: &Name,
        failed: &collections::BTreeMap<Name, u64>,
        now: time::Instant,
    ) {
        let rests =
            |left: u64| now + time::Duration::from_millis(left).min(REST_MOST) + HEARD_MARGIN;
        let heard: collections::BTreeMap<Name, time::Instant> = failed
            .iter()
            .filter(|(id, _)| self.known.contains(*id))
            .map(|(id, left)| (id.clone(), rests(*left)))
            .collect();
        if heard.is_empty() || heard.len() * 2 > self.known.len() {
            self.heard.remove(peer);
        } else {
            self.heard.insert(peer.clone(), heard);
        }
    }
}
