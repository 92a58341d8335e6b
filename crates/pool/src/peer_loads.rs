//! What peers have told of their own work at upstream hosts.

use std::collections;
use std::ops;
use std::time;
use world::Name;

/// Work by host, as each peer told it last; after a silence it counts no more.
#[derive(Clone, Debug)]
pub(crate) struct PeerLoads<T> {
    memory: time::Duration,
    peers: collections::BTreeMap<Name, (time::Instant, collections::BTreeMap<Name, T>)>,
}

impl<T: Copy + Default + ops::Add<Output = T>> PeerLoads<T> {
    /// Begins with nothing told; what is told counts for `memory`.
    pub(crate) fn new(memory: time::Duration) -> Self {
        Self {
            memory,
            peers: collections::BTreeMap::new(),
        }
    }

    /// Hears of a peer's work.
    pub(crate) fn hear(
        &mut self,
        peer: &Name,
        work: collections::BTreeMap<Name, T>,
        now: time::Instant,
    ) {
        self.peers.insert(peer.clone(), (now, work));
    }

    /// The work of all peers at one host.
    pub(crate) fn at(&self, id: &str, now: time::Instant) -> T {
        let told = self.fresh(now).filter_map(|work| work.get(id));
        told.fold(T::default(), |sum, work| sum + *work)
    }

    /// The work of all peers by host, for a look at many hosts at once.
    pub(crate) fn all(&self, now: time::Instant) -> collections::BTreeMap<&str, T> {
        let mut all: collections::BTreeMap<&str, T> = collections::BTreeMap::new();
        for (id, work) in self.fresh(now).flatten() {
            let sum = all.entry(id).or_default();
            *sum = *sum + *work;
        }
        all
    }

    fn fresh(&self, now: time::Instant) -> impl Iterator<Item = &collections::BTreeMap<Name, T>> {
        let heard = self.peers.values();
        heard
            .filter(move |(at, _)| now.saturating_duration_since(*at) < self.memory)
            .map(|(_, work)| work)
    }
}
