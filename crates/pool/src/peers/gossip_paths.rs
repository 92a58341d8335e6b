//! Chooses the peers to which an entry sends an update, and what it passes on.
//!
//! An update goes to each peer of the own zone. Of another zone, only a relay gets it,
//! and passes it on within its zone together with its own next update. The sender
//! takes one of two relays by turns, so that the loss of one delays the zone's
//! knowledge by one interval at most.

use std::collections;
use std::time;
use world::Name;
use xxhash_rust::xxh3;

/// Up to this number of known peers, a zone needs no relay.
pub(crate) const MAX_DIRECT: usize = 2;
/// Number of relays of a zone between which a sender alternates.
const RELAYS: usize = 2;
/// Number of updates of one peer that wait to be passed on; of more, the oldest are
/// dropped.
const MAX_WAITING: usize = 4;

/// Whether and when the receiver of an update passes it on within its zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Forwarding {
    /// It keeps the update to itself.
    #[default]
    Never,
    /// It passes the update on with its own next one.
    Next,
    /// It passes the update on at once.
    Now,
}

impl Forwarding {
    /// Returns whether the update stays with its receiver.
    pub fn is_never(&self) -> bool {
        *self == Self::Never
    }
}

/// What an entry knows of a peer as a receiver of updates.
#[derive(Clone, Copy, Debug)]
pub struct KnownPeer<'a> {
    /// Host name of the peer.
    pub name: &'a Name,
    /// Its zone, once the peer has told it.
    pub zone: Option<&'a Name>,
    /// Whether the peer did not reply lately.
    pub is_lost: bool,
}

/// The receivers of an update.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipPaths {
    /// Peers of the own zone, which also get what other zones have sent.
    pub own_zone: Vec<Name>,
    /// Other peers that get the update for themselves.
    pub direct: Vec<Name>,
    /// Peers that pass the update on within their zone.
    pub relays: Vec<Name>,
}

impl GossipPaths {
    /// Chooses the receivers of the update with the number `turn`; an urgent one goes to
    /// all relays of each zone.
    pub fn choose<'a>(
        own_name: &Name,
        own_zone: &Name,
        peers: impl Iterator<Item = KnownPeer<'a>>,
        turn: u32,
        is_urgent: bool,
    ) -> Self {
        let mut paths = Self::default();
        let mut zones: collections::BTreeMap<&Name, Vec<KnownPeer<'a>>> =
            collections::BTreeMap::new();
        for peer in peers {
            match peer.zone {
                Some(zone) if zone == own_zone => paths.own_zone.extend(peer.reachable()),
                Some(zone) => zones.entry(zone).or_default().push(peer),
                None => paths.direct.extend(peer.reachable()),
            }
        }
        for mut peers in zones.into_values() {
            if peers.len() <= MAX_DIRECT {
                paths
                    .direct
                    .extend(peers.iter().filter_map(KnownPeer::reachable));
                continue;
            }
            peers.sort_by_cached_key(|p| std::cmp::Reverse(score(own_name, p.name)));
            let relays = peers.iter().filter_map(KnownPeer::reachable).take(RELAYS);
            let relays: Vec<Name> = relays.collect();
            match is_urgent || relays.is_empty() {
                true => paths.relays.extend(relays),
                false => paths
                    .relays
                    .push(relays[turn as usize % relays.len()].clone()),
            }
        }
        paths.direct.sort();
        paths
    }
}

impl KnownPeer<'_> {
    /// Returns the peer's name unless it is lost.
    fn reachable(&self) -> Option<Name> {
        (!self.is_lost).then(|| self.name.clone())
    }
}

/// Returns the rendezvous score of a relay for a sender.
fn score(sender: &Name, relay: &Name) -> (u64, Name) {
    let seed = xxh3::xxh3_64(sender.as_bytes());
    let hash = xxh3::xxh3_64_with_seed(relay.as_bytes(), seed);
    (hash, relay.clone())
}

/// Recognises the updates of a peer that are older than the last one applied.
#[derive(Clone, Debug, Default)]
pub struct UpdateOrder {
    last: Option<UpdateId>,
}

/// Identifies one update of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateId {
    /// Process that sent it.
    pub run: u64,
    /// When that process started, as the receiver reckons.
    pub started_at: time::Instant,
    /// Number of the update among those of the process.
    pub number: u64,
}

impl UpdateOrder {
    /// Records an update. Returns whether it is newer than all others so far, and is to
    /// be applied. Of two processes, the one that started later is the newer.
    pub fn record(&mut self, update: UpdateId) -> bool {
        let is_newer = self.last.is_none_or(|last| match last.run == update.run {
            true => update.number > last.number,
            false => update.started_at > last.started_at,
        });
        if is_newer {
            self.last = Some(update);
        }
        is_newer
    }
}

/// Updates from other zones that wait to be passed on, in the order of their arrival.
#[derive(Clone, Debug)]
pub struct RelayQueue<T> {
    waiting: collections::VecDeque<(time::Instant, Name, T)>,
}

impl<T> Default for RelayQueue<T> {
    fn default() -> Self {
        Self {
            waiting: collections::VecDeque::new(),
        }
    }
}

impl<T> RelayQueue<T> {
    /// Adds an update of the peer `origin`.
    pub fn push(&mut self, origin: Name, update: T, now: time::Instant) {
        let of_origin = self.waiting.iter().filter(|(_, name, _)| *name == origin);
        if of_origin.count() >= MAX_WAITING
            && let Some(oldest) = self.waiting.iter().position(|(_, n, _)| *n == origin)
        {
            self.waiting.remove(oldest);
        }
        self.waiting.push_back((now, origin, update));
    }

    /// Takes all updates, each with the time for which it was held.
    pub fn take(&mut self, now: time::Instant) -> Vec<(time::Duration, T)> {
        let waiting = self.waiting.drain(..);
        waiting
            .map(|(at, _, update)| (now.saturating_duration_since(at), update))
            .collect()
    }
}
