//! Decides which entries read the lists of hosts and of entries from the store,
//! and how often.
//!
//! The store's request limits grow more slowly than the fleet. Only a few
//! entries, the readers, therefore read the membership list of the hosts often,
//! and pass it on to the others. An entry whose list has become too old reads
//! it itself. A new entry contacts all others, so it becomes known to them
//! before they read the list of entries again. All entries watch the
//! configuration, but most of them renew their watch less often, since the
//! readers announce each version to them. Where entries hear of other zones through
//! relays, each zone has a reader of its own.

use crate::peers::gossip_paths::MAX_DIRECT;
use std::collections;
use std::time;
use world::Name;

/// Number of entries that read the lists often: enough that some remain after a
/// failure, and few enough that their requests don't grow with the fleet.
const READERS: usize = 6;
/// The first reader sends its membership list to an entry whose own list has this
/// age.
const SHARE_AGE: time::Duration = time::Duration::from_millis(500);
/// How much older the receiver's list must be before the next reader sends its own,
/// so that usually only one does.
const SHARE_STEP: time::Duration = time::Duration::from_millis(150);
/// At this age of an entry's list, entries that aren't readers send it theirs
/// too, and it reads the list from the store itself. It lies well below the
/// time after which a leaving host must receive no more requests.
const MAX_LIST_AGE: time::Duration = time::Duration::from_millis(1_300);

/// At this age of its list, the second entry of a zone reads for the first one. It is
/// above the age that a list reaches between two reads of that one.
const SUCCESSOR_LIST_AGE: time::Duration = time::Duration::from_millis(1_100);

/// Timeout of one configuration watch of a reader. It is short, since only the
/// timeout reveals a connection to the store that has gone silent.
const READER_WATCH_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Timeout of one configuration watch of an entry that isn't a reader.
const OTHER_WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(6);

/// Interval at which a reader checks for entries that joined or left.
const READER_INTERVAL: time::Duration = time::Duration::from_millis(1_500);
/// Interval at which an entry that isn't a reader checks; until then, it keeps
/// sending to a peer that has left.
const OTHER_INTERVAL: time::Duration = time::Duration::from_secs(6);

/// Place of an entry in the order in which entries read for the others. All entries
/// that know the same peers get the same order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Index among all entries, or, where updates come by relays, in an order that begins
    /// with the first entry of each zone.
    pub index: usize,
    /// Index among the entries with which this one exchanges messages directly.
    pub near_index: usize,
    /// Number of the entries that read often.
    pub readers: usize,
    /// Number of entries.
    pub count: usize,
    /// Whether some zone gets updates by relays.
    pub has_relays: bool,
}

impl Position {
    /// Returns the position of an entry in the order of all entries, which exchange all
    /// messages directly.
    pub fn among_all(index: usize, count: usize) -> Self {
        Self {
            index,
            near_index: index,
            readers: READERS,
            count,
            has_relays: false,
        }
    }

    /// Finds the position of the entry `own` in its zone among its peers. The zone of a
    /// peer is `None` until it has told it.
    pub fn find<'a>(
        own: (&Name, &Name),
        peers: impl Iterator<Item = (&'a Name, Option<&'a Name>)>,
    ) -> Self {
        let (own_name, own_zone) = own;
        let (mut index, mut count) = (0, 1);
        let mut zones: collections::BTreeMap<Option<&Name>, Vec<&Name>> =
            collections::BTreeMap::from([(Some(own_zone), vec![own_name])]);
        for (name, zone) in peers {
            index += usize::from(name < own_name);
            count += 1;
            zones.entry(zone).or_default().push(name);
        }
        let mut known = zones.iter().filter(|(zone, _)| zone.is_some());
        if known.all(|(_, names)| names.len() <= MAX_DIRECT) {
            return Self::among_all(index, count);
        }
        for names in zones.values_mut() {
            names.sort();
        }
        let of_zone = &zones[&Some(own_zone)];
        let near_index = of_zone.iter().position(|n| *n == own_name).unwrap_or(0);
        let preceding = zones.iter().map(|(zone, names)| {
            let is_before = zone.is_some_and(|z| z < own_zone);
            names.len().min(near_index + usize::from(is_before))
        });
        Self {
            index: preceding.sum(),
            near_index,
            readers: zones.keys().filter(|z| z.is_some()).count().max(READERS),
            count,
            has_relays: true,
        }
    }

    fn is_reader(&self) -> bool {
        self.index < self.readers
    }

    /// Returns whether the entry takes over when the only reader of its zone is lost.
    fn is_successor(&self) -> bool {
        self.has_relays && self.near_index == 1
    }
}

/// Returns the interval at which an entry checks for entries that joined or left. One
/// that knows no other entry checks as often as a reader.
pub fn discovery_interval(position: Position) -> time::Duration {
    match position.is_reader() || position.count == 1 {
        true => READER_INTERVAL,
        false => OTHER_INTERVAL,
    }
}

/// Returns the timeout of one configuration watch of the entry at this position.
pub fn watch_timeout(position: Position) -> time::Duration {
    match position.is_reader() {
        true => READER_WATCH_TIMEOUT,
        false => OTHER_WATCH_TIMEOUT,
    }
}

/// Returns whether an entry, whose own list has the given age, reads the membership list
/// from the store.
pub fn reads_member_list(position: Position, age: time::Duration) -> bool {
    let takes_over = position.is_successor() && age >= SUCCESSOR_LIST_AGE;
    position.is_reader() || takes_over || age >= MAX_LIST_AGE
}

/// Returns whether the entry at this position sends its membership list to an entry
/// whose own list has the given age. Of those with relays, only entries of the same
/// zone do so before the list is too old.
pub fn shares_member_list(position: Position, same_zone: bool, age: time::Duration) -> bool {
    let shares = position.is_reader() || position.is_successor();
    match u32::try_from(position.near_index) {
        Ok(step) if shares && (same_zone || !position.has_relays) => {
            age >= SHARE_AGE + SHARE_STEP * step
        }
        _ => age >= MAX_LIST_AGE,
    }
}
