//! Which upstream hosts may be used, by the platform's list.
//!
//! Answers hosts that leave, restart or lapse: one that drains or is missing
//! gets nothing new from the reading on. After the store was away, entries that
//! lapsed meanwhile have a moment to come back.

use std::collections;
use std::time;
use world::Name;

/// Without a reading for this long, the store counts as having been away.
const AWAY: time::Duration = time::Duration::from_millis(2_500);
/// How long after the store's return a lapsed entry may still come back.
const RETURN_TIME: time::Duration = time::Duration::from_millis(2_000);

/// The upstream hosts of the newest reading.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    members: collections::BTreeMap<Name, seam::Member>,
    revision: u64,
    read: Option<time::Instant>,
    returned: Option<time::Instant>,
}

impl HostList {
    /// Takes a reading made at a revision of the store; older ones are ignored.
    /// Gives the hosts that are no longer there.
    pub fn update(
        &mut self,
        members: Vec<seam::Member>,
        revision: u64,
        now: time::Instant,
    ) -> Vec<seam::Member> {
        if revision < self.revision {
            return Vec::new();
        }
        self.note_return(now);
        self.read = Some(now);
        self.revision = revision;
        let mut fresh: collections::BTreeMap<Name, seam::Member> =
            members.into_iter().map(|m| (m.id.clone(), m)).collect();
        if self.forgives(now) {
            for (id, member) in &self.members {
                // Its address may have gone to another that is there now.
                let taken = fresh.values().any(|m| m.address == member.address);
                if !taken && !fresh.contains_key(id) {
                    fresh.insert(id.clone(), member.clone());
                }
            }
        }
        let before = std::mem::replace(&mut self.members, fresh);
        before
            .into_values()
            .filter(|m| {
                self.members
                    .get(&m.id)
                    .is_none_or(|n| n.started_ms != m.started_ms)
            })
            .collect()
    }

    /// Hears from a peer that the list was the same at this revision `age` ago;
    /// gives whether that says more than was known.
    pub fn confirm(&mut self, revision: u64, age: time::Duration, now: time::Instant) -> bool {
        let Some(at) = now.checked_sub(age) else {
            return false;
        };
        if revision != self.revision || self.read.is_none_or(|r| r >= at) {
            return false;
        }
        self.note_return(at);
        self.read = Some(at);
        true
    }

    /// The hosts of a service that take new work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a seam::Member> + Clone {
        self.members
            .values()
            .filter(move |m| &*m.service == service && m.state == seam::MemberState::Ready)
    }

    /// All hosts known.
    pub fn hosts(&self) -> impl Iterator<Item = &seam::Member> {
        self.members.values()
    }

    /// Finds a host.
    pub fn get(&self, id: &str) -> Option<&seam::Member> {
        self.members.get(id)
    }

    /// The store's revision at the newest reading.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// When the newest reading was made.
    pub fn read_at(&self) -> Option<time::Instant> {
        self.read
    }

    fn note_return(&mut self, now: time::Instant) {
        let away = self
            .read
            .is_some_and(|r| now.saturating_duration_since(r) > AWAY);
        if away {
            self.returned = Some(now);
        }
    }

    fn forgives(&self, now: time::Instant) -> bool {
        self.returned
            .is_some_and(|r| now.saturating_duration_since(r) < RETURN_TIME)
    }
}
