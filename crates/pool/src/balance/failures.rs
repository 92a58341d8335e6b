//! Backoff for upstream hosts that failed, as seen by this entry and its peers.
//!
//! When a host crashes or its responses get lost, each failed attempt costs a
//! request or a wasted prefill. Without reports from its peers, every entry
//! would have to see the failure for itself. A host that failed is backed off,
//! for longer after each failure, and is then tested with a single request. A
//! host is also backed off when two peers report its failure. A report by only
//! one peer, or by a peer that sees most hosts fail, is ignored, since that
//! peer may itself be disconnected.

use crate::peers::heard::Heard;
use std::collections;
use std::time;
use world::Name;

/// The longest backoff; it doubles with each failure in a row.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(4);
/// Extra backoff for a host whose failure was reported by peers, so that those
/// peers test it first and report the result: the time of one message and of
/// one attempt.
const REPORTED_MARGIN: time::Duration = time::Duration::from_millis(400);
/// Number of peers that must report a host's failure before it is backed off here.
const MIN_REPORTS: usize = 2;

/// Failures of the upstream hosts of one service.
#[derive(Clone, Debug)]
pub struct HostFailures {
    first_backoff: time::Duration,
    /// The hosts that are tracked.
    known: collections::BTreeSet<Name>,
    /// Failures that this entry itself has seen.
    own: collections::BTreeMap<Name, Failure>,
    /// For each peer, the hosts it reported and the end of their backoff.
    reported: collections::BTreeMap<Name, collections::BTreeMap<Name, time::Instant>>,
}

/// Failures in a row that this entry has seen at one host.
#[derive(Clone, Copy, Debug)]
struct Failure {
    /// End of the backoff.
    until: time::Instant,
    count: u32,
}

impl HostFailures {
    /// Creates a tracker without failures; the first failure of a host backs it
    /// off for `first_backoff`.
    pub fn new(first_backoff: time::Duration) -> Self {
        Self {
            first_backoff,
            known: collections::BTreeSet::new(),
            own: collections::BTreeMap::new(),
            reported: collections::BTreeMap::new(),
        }
    }

    /// Sets the hosts that are tracked, and drops the failures of all others.
    pub fn set_hosts<'a>(&mut self, hosts: impl Iterator<Item = &'a Name>) {
        self.known = hosts.cloned().collect();
        self.own.retain(|id, _| self.known.contains(id));
    }

    /// Records that a host has failed. An unknown host is ignored.
    pub fn record_failure(&mut self, id: &str, now: time::Instant) {
        if !self.known.contains(id) {
            return;
        }
        let count = self.own.get(id).map_or(0, |f| f.count);
        let backoff = self.first_backoff.saturating_mul(1 << count.min(4));
        let failure = Failure {
            until: now + backoff.min(MAX_BACKOFF),
            count: count + 1,
        };
        self.own.insert(Name::from(id), failure);
    }

    /// Records a successful request to a host, which ends its own backoff here.
    pub fn record_success(&mut self, id: &str) {
        self.own.remove(id);
    }

    /// Records the start of a request to a host. If that host had failed, it
    /// receives no other request for the time of the first backoff, so that
    /// this one can show whether it works again.
    pub fn record_attempt(&mut self, id: &str, now: time::Instant) {
        if let Some(failure) = self.own.get_mut(id) {
            failure.until = failure.until.max(now + self.first_backoff);
        }
    }

    /// Returns whether a host must not receive requests at the moment.
    pub fn is_backed_off(&self, id: &str, now: time::Instant) -> bool {
        self.backed_off(now).contains(id)
    }

    /// Returns all hosts that must not receive requests at the moment.
    pub fn backed_off(&self, now: time::Instant) -> collections::BTreeSet<&str> {
        let mut reports: collections::BTreeMap<&str, usize> = collections::BTreeMap::new();
        let reported = self.reported.values().flatten();
        for (id, _) in reported.filter(|(_, until)| **until > now) {
            *reports.entry(id).or_default() += 1;
        }
        let confirmed = reports.into_iter().filter(|(_, n)| *n >= MIN_REPORTS);
        let own = self.own.iter().filter(|(_, f)| f.until > now);
        let own = own.map(|(id, _)| &**id);
        own.chain(confirmed.map(|(id, _)| id)).collect()
    }

    /// Returns the hosts that this entry itself has seen fail, with the
    /// milliseconds that remain of their backoff.
    pub fn own_failures(&self, now: time::Instant) -> collections::BTreeMap<Name, u64> {
        let remaining = |f: &Failure| f.until.saturating_duration_since(now).as_millis();
        let all = self.own.iter();
        all.map(|(id, f)| (id.clone(), u64::try_from(remaining(f)).unwrap_or(u64::MAX)))
            .filter(|(_, remaining)| *remaining > 0)
            .collect()
    }

    /// Replaces a peer's report: the hosts it has seen fail, with the
    /// milliseconds that remain of their backoff. Hosts of other services are
    /// left out. A report that names most hosts is dropped, since that peer may
    /// itself be disconnected.
    pub fn update_peer(
        &mut self,
        peer: &Name,
        failed: &collections::BTreeMap<Name, u64>,
        heard: impl Into<Heard>,
    ) {
        let heard = heard.into();
        let margin = REPORTED_MARGIN + heard.delay();
        let end = |remaining: u64| {
            heard.sent_at + time::Duration::from_millis(remaining).min(MAX_BACKOFF) + margin
        };
        let reported: collections::BTreeMap<Name, time::Instant> = failed
            .iter()
            .filter(|(id, _)| self.known.contains(*id))
            .map(|(id, remaining)| (id.clone(), end(*remaining)))
            .collect();
        if reported.is_empty() || reported.len() * 2 > self.known.len() {
            self.reported.remove(peer);
        } else {
            self.reported.insert(peer.clone(), reported);
        }
    }
}
