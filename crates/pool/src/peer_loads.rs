//! The load that peer entries have reported for upstream hosts.

use std::collections;
use std::ops;
use std::time;
use world::Name;

/// The last report of each peer, by host; reports expire after a fixed time.
#[derive(Clone, Debug)]
pub(crate) struct PeerLoads<T> {
    expiry: time::Duration,
    peers: collections::BTreeMap<Name, (time::Instant, collections::BTreeMap<Name, T>)>,
}

impl<T: Copy + Default + ops::Add<Output = T>> PeerLoads<T> {
    /// Creates a store without reports; each report is valid for `expiry`.
    pub(crate) fn new(expiry: time::Duration) -> Self {
        Self {
            expiry,
            peers: collections::BTreeMap::new(),
        }
    }

    /// Replaces a peer's report.
    pub(crate) fn update(
        &mut self,
        peer: &Name,
        loads: collections::BTreeMap<Name, T>,
        now: time::Instant,
    ) {
        self.peers.insert(peer.clone(), (now, loads));
    }

    /// Returns the load of all peers at one host.
    pub(crate) fn at(&self, id: &str, now: time::Instant) -> T {
        let loads = self.valid(now).filter_map(|loads| loads.get(id));
        loads.fold(T::default(), |sum, load| sum + *load)
    }

    /// Returns the load of all peers by host. This takes one pass over all
    /// reports, unlike a call of [`Self::at`] for each host.
    pub(crate) fn all(&self, now: time::Instant) -> collections::BTreeMap<&str, T> {
        let mut all: collections::BTreeMap<&str, T> = collections::BTreeMap::new();
        for (id, load) in self.valid(now).flatten() {
            let sum = all.entry(id).or_default();
            *sum = *sum + *load;
        }
        all
    }

    fn valid(&self, now: time::Instant) -> impl Iterator<Item = &collections::BTreeMap<Name, T>> {
        let reports = self.peers.values();
        reports
            .filter(move |(at, _)| now.saturating_duration_since(*at) < self.expiry)
            .map(|(_, loads)| loads)
    }
}
