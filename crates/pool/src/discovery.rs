//! Decides which entries read the lists of hosts and of entries from the store,
//! and how often.
//!
//! The store's request limits grow more slowly than the fleet. Only a few
//! entries, the readers, therefore read the membership list of the hosts often,
//! and pass it on to the others. An entry whose list has become too old reads
//! it itself. A new entry contacts all others, so it becomes known to them
//! before they read the list of entries again. All entries watch the
//! configuration, but most of them renew their watch less often, since the
//! readers announce each version to them.

use std::time;

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

/// Returns the interval at which an entry checks for entries that joined or left.
/// The entry has the given index among `count` entries; one that knows no other
/// entry checks as often as a reader.
pub fn discovery_interval((index, count): (usize, usize)) -> time::Duration {
    match index < READERS || count == 1 {
        true => READER_INTERVAL,
        false => OTHER_INTERVAL,
    }
}

/// Returns the timeout of one configuration watch of the entry with this index.
pub fn watch_timeout(index: usize) -> time::Duration {
    match index < READERS {
        true => READER_WATCH_TIMEOUT,
        false => OTHER_WATCH_TIMEOUT,
    }
}

/// Returns whether an entry reads the membership list from the store. The entry
/// has the given index, in an order that is the same at all entries, and its own
/// list has the given age.
pub fn reads_member_list(index: usize, age: time::Duration) -> bool {
    index < READERS || age >= MAX_LIST_AGE
}

/// Returns whether the entry with this index sends its membership list to an entry
/// whose own list has the given age.
pub fn shares_member_list(index: usize, age: time::Duration) -> bool {
    match u32::try_from(index) {
        Ok(step) if index < READERS => age >= SHARE_AGE + SHARE_STEP * step,
        _ => age >= MAX_LIST_AGE,
    }
}
