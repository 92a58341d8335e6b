//! Who reads the list of upstream hosts for the others.
//!
//! Answers the store's rates, which grow more slowly than the fleet: a few
//! entries read the lists of hosts and of entries, and the others have them from
//! those: an entry that comes speaks to all, and so is known. One whose list has
//! grown old reads for itself. The configuration is watched by all, but the
//! others begin anew less often, since the few tell them of each version.

use std::time;

/// Entries that read the list from the store: enough that some are there after
/// a failure, and so few that their calls don't grow with the fleet.
const READERS: usize = 6;
/// A list this old is worth replacing, by the first reader.
const SHARE_AGE: time::Duration = time::Duration::from_millis(500);
/// How much later each next reader steps in, so that one is enough mostly.
const SHARE_STEP: time::Duration = time::Duration::from_millis(150);
/// At this age others share theirs too, and an entry reads for itself: well
/// below the time after which a leaving host may get nothing.
const OLD_AGE: time::Duration = time::Duration::from_millis(1_300);

/// How long one watch of a reader waits: a connection to the store that has gone
/// silent is noticed by it.
const READER_WATCH: time::Duration = time::Duration::from_millis(1_500);
/// How long one watch of another entry waits.
const OTHER_WATCH: time::Duration = time::Duration::from_secs(6);

/// Time between two looks of a reader for entries that came or went.
const READER_LOOK: time::Duration = time::Duration::from_millis(1_500);
/// Time between two looks of another entry; a peer that has gone is spoken to in
/// vain so long.
const OTHER_LOOK: time::Duration = time::Duration::from_secs(6);

/// How long an entry, which is `place` of `count`, waits until it looks for others
/// again.
pub fn discovery_interval((place, count): (usize, usize)) -> time::Duration {
    match place < READERS || count == 1 {
        true => READER_LOOK,
        false => OTHER_LOOK,
    }
}

/// How long one watch of the configuration waits.
pub fn watch_timeout(place: usize) -> time::Duration {
    match place < READERS {
        true => READER_WATCH,
        false => OTHER_WATCH,
    }
}

/// Tells whether an entry reads the list from the store: it is `place` in an
/// order of the entries that all know, and its own list has this `age`.
pub fn reads_host_list(place: usize, age: time::Duration) -> bool {
    place < READERS || age >= OLD_AGE
}

/// Tells whether an entry gives its list to one whose own has this `age`.
pub fn shares_host_list(place: usize, age: time::Duration) -> bool {
    match u32::try_from(place) {
        Ok(step) if place < READERS => age >= SHARE_AGE + SHARE_STEP * step,
        _ => age >= OLD_AGE,
    }
}
