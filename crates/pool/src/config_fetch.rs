//! When an entry asks a peer for a newer configuration.
//!
//! Answers large configurations in quick succession on small links: each entry
//! hears of a newer version from all its peers at once, and copies from each would
//! fill its link. It asks one at a time, and only where the store has not brought
//! the version itself.

use std::time;

/// How long the store has to bring a version of which a peer has told: some times
/// what a large one takes on the smallest link, and well below the time in which
/// it must be in force.
const STORE_TIME: time::Duration = time::Duration::from_millis(500);

/// What an entry knows of newer versions.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigFetch {
    behind: Option<time::Instant>,
    asking: bool,
}

impl ConfigFetch {
    /// Hears that a peer has a newer version; tells whether to ask it now. One that
    /// has no configuration yet can't serve and asks at once.
    pub fn note_newer(&mut self, empty: bool, now: time::Instant) -> bool {
        let since = *self.behind.get_or_insert(now);
        let waited = now.saturating_duration_since(since) >= STORE_TIME;
        let asks = !self.asking && (empty || waited);
        self.asking |= asks;
        asks
    }

    /// Notes that the peer has answered, or has not in time.
    pub fn finish_request(&mut self) {
        self.asking = false;
    }

    /// Notes that a version is in force that was newer than the last.
    pub fn note_applied(&mut self) {
        self.behind = None;
    }
}
