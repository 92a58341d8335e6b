//! Hosts that are known to have left, so that a store that comes back from a copy does not
//! list them again.
//!
//! A copy may be from before a host left. The store removes the record of a host that does
//! not write it any more, but only after a few heartbeats.

use std::collections;
use std::time;
use world::Name;

/// How long lists of a new era may still have records of hosts that had left: the time
/// after which the store removes a silent host, with some margin.
const GHOST_TIME: time::Duration = time::Duration::from_secs(6);
/// How long it is remembered that a host has left. A copy is some seconds old.
const DEPARTURE_TTL: time::Duration = time::Duration::from_secs(300);

/// The hosts that were removed from the membership list.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departures {
    /// Start time of the last removed process of each host, and when it was removed.
    removed: collections::BTreeMap<Name, (u64, time::Instant)>,
    /// When the current era was first seen; `None` in the first one.
    era_seen_at: Option<time::Instant>,
}

impl Departures {
    /// Records that a host was removed from the list.
    pub(crate) fn record_removed(&mut self, member: &seam::Member, now: time::Instant) {
        self.removed
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < DEPARTURE_TTL);
        let departure = (member.started_ms, now);
        let known = self.removed.entry(member.id.clone()).or_insert(departure);
        *known = departure.max(*known);
    }

    /// Records that a host is in the list, as one that was only silent is again.
    pub(crate) fn record_listed(&mut self, id: &Name) {
        self.removed.remove(id);
    }

    /// Records that the store came back from a copy.
    pub(crate) fn record_era(&mut self, now: time::Instant) {
        self.era_seen_at = Some(now);
    }

    /// Returns whether the list may have records from before the store came back.
    pub(crate) fn may_have_ghosts(&self, now: time::Instant) -> bool {
        self.era_seen_at
            .is_some_and(|at| now.saturating_duration_since(at) < GHOST_TIME)
    }

    /// Returns whether a listed process is one that was removed before, or an earlier one
    /// of its host.
    pub(crate) fn has_left(&self, member: &seam::Member) -> bool {
        let removed = self.removed.get(&member.id);
        removed.is_some_and(|(started_ms, _)| member.started_ms <= *started_ms)
    }
}
