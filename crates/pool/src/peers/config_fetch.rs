//! Decides when an entry requests a newer configuration from a peer.
//!
//! When large configurations follow each other quickly on small links, each
//! entry learns of a newer version from all its peers at once, and a copy from
//! each of them would fill its link. It therefore has one request open at a
//! time, and only if the store does not deliver the version soon.

use std::time;

/// Time for the store to deliver a version that a peer has announced: several
/// times what a large version takes on the smallest link, and well below the time
/// within which the version must be in force.
const STORE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// What an entry knows of newer configuration versions and its request for one.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigFetch {
    outdated_since: Option<time::Instant>,
    requesting: bool,
}

impl ConfigFetch {
    /// Records that a peer has a newer version and returns whether to request
    /// it from that peer now. An `unconfigured` entry can't serve, so it requests
    /// the version immediately.
    pub fn record_newer(&mut self, unconfigured: bool, now: time::Instant) -> bool {
        let since = *self.outdated_since.get_or_insert(now);
        let timed_out = now.saturating_duration_since(since) >= STORE_TIMEOUT;
        let request = !self.requesting && (unconfigured || timed_out);
        self.requesting |= request;
        request
    }

    /// Records that the request was answered or has timed out.
    pub fn finish_request(&mut self) {
        self.requesting = false;
    }

    /// Records that a newer version has been applied.
    pub fn record_applied(&mut self) {
        self.outdated_since = None;
    }
}
