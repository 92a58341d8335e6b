//! The peers of a process, their links and their status; see docs/DESIGN.md,
//! "Membership".

use rand::Rng;
use rand::SeedableRng;
use std::collections;
use std::time;
use world::Host;
use world::HostState;
use world::Name;
use world::Role;

/// A peer that has been silent for longer than this receives no new work.
const SUSPECT_AFTER: time::Duration = time::Duration::from_millis(1_200);
/// A link that has been silent for longer than this is closed and opened again.
const CLOSE_AFTER: time::Duration = time::Duration::from_secs(3);
/// Delay before a link is opened again after its first failure. It doubles with
/// each further failure in a row, and is then shortened by random jitter.
const FIRST_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
/// Longest delay before a failed link is opened again.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(2);

/// The identity that a peer announced when its link was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// The peer's role.
    pub role: Role,
    /// The peer's upstream; empty for entries.
    pub upstream: Name,
    /// A number that differs each time the peer's process starts.
    pub incarnation: u64,
}

/// Whether a peer may receive work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerStatus {
    /// The peer sends heartbeats.
    Serving,
    /// The peer has missed heartbeats.
    Suspect,
    /// The peer or its host has announced that it will leave, or operators are
    /// draining it.
    Leaving,
    /// No link to the peer is open, or the peer is unknown.
    Disconnected,
}

/// An event that changes the peer table.
#[derive(Clone, Debug)]
pub enum PeerEvent {
    /// The platform's host list was read.
    HostListRead(Vec<Host>),
    /// A link was opened.
    LinkOpened(Name, PeerIdentity),
    /// A link could not be opened.
    LinkFailed(Name),
    /// A heartbeat was received; the flag tells whether the peer is draining.
    Heartbeat(Name, bool),
    /// A link broke.
    LinkClosed(Name),
    /// Time has passed.
    Tick,
}

/// What the caller must do with a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Open a link to this host.
    Open(Host),
    /// Close the link to this host.
    Close(Name),
}

/// All peers that this process knows of, by name.
pub struct PeerTable {
    own_name: Name,
    peers: collections::BTreeMap<Name, Peer>,
    /// Hosts that operators are draining.
    drained: collections::BTreeSet<Name>,
    random: rand_chacha::ChaCha8Rng,
}

struct Peer {
    host: Host,
    /// Whether the platform's last list contains the host.
    listed: bool,
    /// Whether the peer announced in its last heartbeat that it is draining.
    draining: bool,
    link: Link,
    /// Link failures in a row.
    failures: u32,
}

enum Link {
    /// The link is down until at least this time.
    Down(time::Instant),
    /// The caller is opening the link.
    Opening,
    /// The link is up. The time is that of the last heartbeat, or of the opening if
    /// there was no heartbeat yet.
    Up(PeerIdentity, time::Instant),
}

impl PeerTable {
    /// Creates an empty table; `seed` seeds the random jitter of retries.
    pub fn new(own_name: Name, seed: u64) -> Self {
        Self {
            own_name,
            peers: collections::BTreeMap::new(),
            drained: collections::BTreeSet::new(),
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets the hosts that operators are draining.
    pub fn set_drained(&mut self, hosts: impl IntoIterator<Item = Name>) {
        self.drained = hosts.into_iter().collect();
    }

    /// Applies an event, and returns the links to open and close.
    pub fn handle_event(&mut self, event: PeerEvent, now: time::Instant) -> Vec<LinkAction> {
        match event {
            PeerEvent::HostListRead(hosts) => self.apply_list(hosts, now),
            PeerEvent::LinkOpened(name, identity) => {
                if let Some(p) = self.peers.get_mut(&name) {
                    p.link = Link::Up(identity, now);
                    p.failures = 0;
                    p.draining = false;
                }
            }
            PeerEvent::LinkFailed(name) | PeerEvent::LinkClosed(name) => {
                self.schedule_retry(&name, now)
            }
            PeerEvent::Heartbeat(name, draining) => {
                if let Some(p) = self.peers.get_mut(&name) {
                    p.draining = draining;
                    if let Link::Up(_, last_heartbeat) = &mut p.link {
                        *last_heartbeat = now;
                    }
                }
            }
            PeerEvent::Tick => {}
        }
        self.due_actions(now)
    }

    /// Returns the status of a peer; [`PeerStatus::Serving`] means that it may
    /// receive work.
    pub fn status(&self, name: &str, now: time::Instant) -> PeerStatus {
        let Some(p) = self.peers.get(name) else {
            return PeerStatus::Disconnected;
        };
        let Link::Up(_, last_heartbeat) = &p.link else {
            return PeerStatus::Disconnected;
        };
        let leaving = p.draining || p.host.state == HostState::Leaving;
        if leaving || self.drained.contains(name) {
            return PeerStatus::Leaving;
        }
        if now.saturating_duration_since(*last_heartbeat) > SUSPECT_AFTER {
            return PeerStatus::Suspect;
        }
        PeerStatus::Serving
    }

    /// Iterates over the peers with an open link, in the order of their names.
    pub fn connected(&self) -> impl Iterator<Item = (&Host, &PeerIdentity)> {
        self.peers.values().filter_map(|p| match &p.link {
            Link::Up(identity, _) => Some((&p.host, identity)),
            Link::Down(_) | Link::Opening => None,
        })
    }

    /// Returns whether the platform's last list contains the host.
    pub fn is_listed(&self, name: &str) -> bool {
        self.peers.get(name).is_some_and(|p| p.listed)
    }

    /// Returns whether operators are draining a host, which may be this host.
    pub fn is_drained(&self, name: &str) -> bool {
        self.drained.contains(name)
    }

    fn apply_list(&mut self, hosts: Vec<Host>, now: time::Instant) {
        for p in self.peers.values_mut() {
            p.listed = false;
        }
        for host in hosts {
            if host.name == self.own_name {
                continue;
            }
            match self.peers.get_mut(&host.name) {
                Some(p) => {
                    p.listed = true;
                    p.host = host;
                }
                None => {
                    let peer = Peer {
                        listed: true,
                        draining: false,
                        link: Link::Down(now),
                        failures: 0,
                        host,
                    };
                    self.peers.insert(peer.host.name.clone(), peer);
                }
            }
        }
        // The platform updates the list with a delay, so a peer that it does not
        // contain is kept while its link is up.
        self.peers
            .retain(|_, p| p.listed || !matches!(p.link, Link::Down(_)));
    }

    fn schedule_retry(&mut self, name: &str, now: time::Instant) {
        let Some(p) = self.peers.get_mut(name) else {
            return;
        };
        let delay = FIRST_RETRY_DELAY.saturating_mul(1 << p.failures.min(8));
        let delay = delay.min(MAX_RETRY_DELAY);
        p.failures += 1;
        p.link = Link::Down(now + delay.mul_f64(self.random.random_range(0.5..=1.0)));
    }

    /// Returns the links that must be opened or closed now, and updates their
    /// state.
    fn due_actions(&mut self, now: time::Instant) -> Vec<LinkAction> {
        let mut actions = Vec::new();
        for p in self.peers.values_mut() {
            match &p.link {
                Link::Down(until) if *until <= now && p.listed => {
                    p.link = Link::Opening;
                    actions.push(LinkAction::Open(p.host.clone()));
                }
                Link::Up(_, last_heartbeat)
                    if now.saturating_duration_since(*last_heartbeat) > CLOSE_AFTER =>
                {
                    p.link = Link::Down(now + FIRST_RETRY_DELAY);
                    actions.push(LinkAction::Close(p.host.name.clone()));
                }
                Link::Down(_) | Link::Opening | Link::Up(..) => {}
            }
        }
        actions
    }
}
