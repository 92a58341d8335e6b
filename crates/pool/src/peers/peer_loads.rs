//! The load of upstream hosts that peers, the other entries, have reported.

use crate::peers::heard::Heard;
use std::collections;
use std::time;
use world::Name;

/// Load that can be added up. Peers may report any numbers, so a sum that is too large is the
/// largest number.
pub(crate) trait AddLoad {
    /// Returns the sum.
    fn add_load(self, other: Self) -> Self;
}

impl AddLoad for u32 {
    fn add_load(self, other: Self) -> Self {
        self.saturating_add(other)
    }
}

impl AddLoad for u64 {
    fn add_load(self, other: Self) -> Self {
        self.saturating_add(other)
    }
}

/// The last report of each peer, with the load that it causes at each host.
/// Reports expire after a fixed time.
#[derive(Clone, Debug)]
pub(crate) struct PeerLoads<T> {
    expiry: time::Duration,
    peers: collections::BTreeMap<Name, (Heard, collections::BTreeMap<Name, T>)>,
}

impl<T: Copy + Default + AddLoad> PeerLoads<T> {
    /// Starts without reports; each report is valid for `expiry`.
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
        heard: Heard,
    ) {
        self.peers.insert(peer.clone(), (heard, loads));
    }

    /// Returns the load that all peers together cause at one host.
    pub(crate) fn at_host(&self, id: &str, now: time::Instant) -> T {
        let loads = self.valid(now).filter_map(|loads| loads.get(id));
        loads.fold(T::default(), |sum, load| sum.add_load(*load))
    }

    /// Returns the load that all peers together cause, by host. This takes one
    /// pass over all reports, unlike a call of [`Self::at_host`] for each host.
    pub(crate) fn by_host(&self, now: time::Instant) -> collections::BTreeMap<&str, T> {
        let mut sums: collections::BTreeMap<&str, T> = collections::BTreeMap::new();
        for (id, load) in self.valid(now).flatten() {
            let sum = sums.entry(id).or_default();
            *sum = sum.add_load(*load);
        }
        sums
    }

    fn valid(&self, now: time::Instant) -> impl Iterator<Item = &collections::BTreeMap<Name, T>> {
        let reports = self.peers.values();
        reports
            .filter(move |(heard, _)| heard.is_valid(self.expiry, now))
            .map(|(_, loads)| loads)
    }
}
