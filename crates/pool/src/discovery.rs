//! Decides which entries read the lists of hosts and of entries from the store.
//!
//! The store's request limits grow more slowly than the fleet. Only a few
//! entries therefore read the lists from the store, and pass them on to the
//! others. A new entry contacts all others, so it becomes known to them. An
//! entry whose list has become too old reads it itself. All entries watch the
//! configuration, but most of them renew their watch less often, since the few
//! readers announce each version to them.

use std::time;

/// Number of entries that read the lists from the store: enough that some remain
/// after a failure, and few enough that their requests don't grow with the fleet.
const READERS: usize = 6;
/// The first reader sends its list to an entry whose own list has this age.
const SHARE_AGE: time::Duration = time::Duration::from_millis(500);
/// How much older the list must be for each further reader to send its own, so
/// that usually only one does.
const SHARE_STEP: time::Duration = time::Duration::from_millis(150);
/// At this age of the list, entries that aren't readers send theirs too, and the
/// entry reads from the store itself. It lies well below the time after which a
/// leaving host must receive no more requests.
const MAX_LIST_AGE: time::Duration = time::Duration::from_millis(1_300);

/// Timeout of one configuration watch of a reader. It is short, since only the
/// timeout reveals a connection to the store that has gone silent.
const READER_WATCH_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Timeout of one configuration watch of another entry.
const OTHER_WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(6);

/// Interval at which a reader checks for entries that joined or left.
const READER_INTERVAL: time::Duration = time::Duration::from_millis(1_500);
/// Interval at which another entry checks; until then, it keeps sending to a peer
/// that has left.
const OTHER_INTERVAL: time::Duration = time::Duration::from_secs(6);

/// Returns the interval at which an entry checks for entries that joined or left.
/// The entry has the index `place` among `count` entries; one that knows no
/// other entry checks as often as a reader.
pub fn discovery_interval((place, count): (usize, usize)) -> time::Duration {
    match place < READERS || count == 1 {
        true => READER_INTERVAL,
        false => OTHER_INTERVAL,
    }
}

/// Returns the timeout of one configuration watch of the entry with the index
/// `place`.
pub fn watch_timeout(place: usize) -> time::Duration {
    match place < READERS {
        true => READER_WATCH_TIMEOUT,
        false => OTHER_WATCH_TIMEOUT,
    }
}

/// Returns whether an entry reads the host list from the store. The entry has
/// the index `place`, in an order that is the same at all entries, and its own
/// list has the given age.
pub fn reads_member_list(place: usize, age: time::Duration) -> bool {
    place < READERS || age >= MAX_LIST_AGE
}

/// Returns whether the entry with the index `place` sends its host list to an
/// entry whose own list has the given age.
pub fn shares_member_list(place: usize, age: time::Duration) -> bool {
    match u32::try_from(place) {
        Ok(step) if place < READERS => age >= SHARE_AGE + SHARE_STEP * step,
        _ => age >= MAX_LIST_AGE,
    }
}
