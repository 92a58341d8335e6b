//! The upstream hosts that may receive work, according to the platform's
//! membership list.
//!
//! A host that drains or is missing from the list receives no new work as soon
//! as that list has been read. After the store was unavailable, hosts whose
//! keys expired in the meantime stay listed briefly, so that they can register
//! again. The same holds once the store has come back from a copy, which lacks the
//! hosts that registered since; those that had left since do not come back with it.

use crate::hosts::departures::Departures;
use seam::Revision;
use std::cmp;
use std::collections;
use std::time;
use world::Name;

/// If the list was not read for longer than this, the store counts as having
/// been unavailable.
const OUTAGE_GAP: time::Duration = time::Duration::from_millis(2_500);
/// How long missing hosts stay listed after the store is available again.
const RECOVERY_TIME: time::Duration = time::Duration::from_millis(2_000);

/// The upstream hosts as of the newest known revision of the store.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    members: collections::BTreeMap<Name, seam::Member>,
    revision: Revision,
    read_at: Option<time::Instant>,
    recovered_at: Option<time::Instant>,
    departures: Departures,
}

impl HostList {
    /// Replaces the list by one read at the given revision of the store and
    /// returns the members that were removed or have restarted since. A list of
    /// an older revision is ignored.
    pub fn update(
        &mut self,
        members: Vec<seam::Member>,
        revision: Revision,
        now: time::Instant,
    ) -> Vec<seam::Member> {
        if revision < self.revision {
            return Vec::new();
        }
        self.detect_recovery(now);
        if self.read_at.is_some() && revision.era > self.revision.era {
            self.recovered_at = Some(now);
            self.departures.record_era(now);
        }
        self.read_at = Some(now);
        self.revision = revision;
        let mut current: collections::BTreeMap<Name, seam::Member> =
            members.into_iter().map(|m| (m.id.clone(), m)).collect();
        if self.departures.may_have_ghosts(now) {
            self.correct_copied(&mut current);
        }
        if self.is_recovering(now) {
            // Of hosts with one address, the last to start is the one that may live.
            let mut known: Vec<&seam::Member> = self.members.values().collect();
            known.sort_by_key(|m| cmp::Reverse(m.started_ms));
            for member in known {
                let reused = current.values().any(|m| m.address == member.address);
                if !reused && !current.contains_key(&member.id) {
                    current.insert(member.id.clone(), member.clone());
                }
            }
        }
        let previous = std::mem::replace(&mut self.members, current);
        let removed: Vec<seam::Member> = previous
            .into_values()
            .filter(|m| {
                self.members
                    .get(&m.id)
                    .is_none_or(|n| n.started_ms != m.started_ms)
            })
            .collect();
        self.members
            .keys()
            .for_each(|id| self.departures.record_listed(id));
        for member in &removed {
            self.departures.record_removed(member, now);
        }
        removed
    }

    /// Corrects a list that may have been copied before its hosts left: those that are
    /// known to have ended or to be leaving do not accept work again.
    fn correct_copied(&self, listed: &mut collections::BTreeMap<Name, seam::Member>) {
        listed.retain(|_, m| !self.departures.has_left(m));
        for (id, known) in &self.members {
            let Some(copied) = listed.get_mut(id) else {
                continue;
            };
            if copied.started_ms < known.started_ms {
                *copied = known.clone();
            } else if copied.started_ms == known.started_ms
                && known.state == seam::MemberState::Draining
            {
                copied.state = seam::MemberState::Draining;
            }
        }
    }

    /// Records that a peer read the same revision `age` ago. Returns whether
    /// that is newer than this entry's own last update.
    pub fn confirm(&mut self, revision: Revision, age: time::Duration, now: time::Instant) -> bool {
        let Some(at) = now.checked_sub(age) else {
            return false;
        };
        if revision != self.revision || self.read_at.is_none_or(|r| r >= at) {
            return false;
        }
        self.detect_recovery(at);
        self.read_at = Some(at);
        true
    }

    /// Iterates over the members of a service that accept new work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a seam::Member> + Clone {
        self.members
            .values()
            .filter(move |m| &*m.service == service && m.state == seam::MemberState::Ready)
    }

    /// Iterates over all known members in the order of their ids.
    pub fn members(&self) -> impl Iterator<Item = &seam::Member> {
        self.members.values()
    }

    /// Looks up a member by its id.
    pub fn get(&self, id: &str) -> Option<&seam::Member> {
        self.members.get(id)
    }

    /// Returns the store revision of the list; the lowest one before the first update.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns when the list was last read or confirmed; `None` before the first
    /// update.
    pub fn read_at(&self) -> Option<time::Instant> {
        self.read_at
    }

    fn detect_recovery(&mut self, now: time::Instant) {
        let outage = self
            .read_at
            .is_some_and(|r| now.saturating_duration_since(r) > OUTAGE_GAP);
        if outage {
            self.recovered_at = Some(now);
        }
    }

    fn is_recovering(&self, now: time::Instant) -> bool {
        self.recovered_at
            .is_some_and(|r| now.saturating_duration_since(r) < RECOVERY_TIME)
    }
}
