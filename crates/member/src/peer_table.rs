//! The peers of a process and their standing; see docs/DESIGN.md, "Membership".

use rand::Rng;
use rand::SeedableRng;
use std::collections;
use std::time;
use world::Host;
use world::HostState;
use world::Name;
use world::Role;

/// A peer silent for so long gets no new work.
const SUSPECT_AFTER: time::Duration = time::Duration::from_millis(1_200);
/// A link silent for so long is closed and opened anew.
const CLOSE_AFTER: time::Duration = time::Duration::from_secs(3);
const RETRY_FIRST: time::Duration = time::Duration::from_millis(100);
const RETRY_MOST: time::Duration = time::Duration::from_secs(2);

/// Who a peer said it is when its link opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// What it serves.
    pub role: Role,
    /// Its upstream; empty for entries.
    pub upstream: Name,
    /// Differs each time the peer's process starts.
    pub incarnation: u64,
}

/// Whether a peer may be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerStatus {
    /// It beats.
    Serving,
    /// It has missed heartbeats.
    Suspect,
    /// It or its host has said that it goes.
    Leaving,
    /// No link to it is open.
    Disconnected,
}

/// What happens to the roster.
#[derive(Clone, Debug)]
pub enum PeerEvent {
    /// The platform's list was read.
    ListRead(Vec<Host>),
    /// A link opened.
    LinkOpened(Name, PeerIdentity),
    /// A link could not be opened.
    LinkFailed(Name),
    /// A heartbeat came; it says whether the peer is draining.
    Heartbeat(Name, bool),
    /// A link broke.
    LinkClosed(Name),
    /// Time passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Open a link.
    Open(Host),
    /// Close a link.
    Close(Name),
}

/// All peers that this process knows of.
pub struct PeerTable {
    me: Name,
    members: collections::BTreeMap<Name, Peer>,
    drained: collections::BTreeSet<Name>,
    random: rand_chacha::ChaCha8Rng,
}

struct Peer {
    host: Host,
    listed: bool,
    draining: bool,
    link: Link,
    failures: u32,
}

enum Link {
    Down(time::Instant),
    Opening,
    Up(PeerIdentity, time::Instant),
}

impl PeerTable {
    /// Makes an empty roster; `seed` feeds the jitter of retries.
    pub fn new(me: Name, seed: u64) -> Self {
        Self {
            me,
            members: collections::BTreeMap::new(),
            drained: collections::BTreeSet::new(),
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes the hosts that operators are emptying.
    pub fn set_drained(&mut self, hosts: impl IntoIterator<Item = Name>) {
        self.drained = hosts.into_iter().collect();
    }

    /// Moves on by one event.
    pub fn handle_event(&mut self, event: PeerEvent, now: time::Instant) -> Vec<LinkAction> {
        match event {
            PeerEvent::ListRead(hosts) => self.take_list(hosts, now),
            PeerEvent::LinkOpened(name, identity) => {
                if let Some(m) = self.members.get_mut(&name) {
                    m.link = Link::Up(identity, now);
                    m.failures = 0;
                    m.draining = false;
                }
            }
            PeerEvent::LinkFailed(name) | PeerEvent::LinkClosed(name) => self.lose(&name, now),
            PeerEvent::Heartbeat(name, draining) => {
                if let Some(m) = self.members.get_mut(&name) {
                    m.draining = draining;
                    if let Link::Up(_, heard) = &mut m.link {
                        *heard = now;
                    }
                }
            }
            PeerEvent::Tick => {}
        }
        self.due(now)
    }

    /// Tells whether a host may be given work.
    pub fn status(&self, name: &str, now: time::Instant) -> PeerStatus {
        let Some(m) = self.members.get(name) else {
            return PeerStatus::Disconnected;
        };
        let Link::Up(_, heard) = &m.link else {
            return PeerStatus::Disconnected;
        };
        let leaving = m.draining || m.host.state == HostState::Leaving;
        if leaving || self.drained.contains(name) {
            return PeerStatus::Leaving;
        }
        if now.saturating_duration_since(*heard) > SUSPECT_AFTER {
            return PeerStatus::Suspect;
        }
        PeerStatus::Serving
    }

    /// The peers with an open link, in the order of their names.
    pub fn connected(&self) -> impl Iterator<Item = (&Host, &PeerIdentity)> {
        self.members.values().filter_map(|m| match &m.link {
            Link::Up(identity, _) => Some((&m.host, identity)),
            Link::Down(_) | Link::Opening => None,
        })
    }

    /// Tells whether the platform's last list names the host.
    pub fn is_listed(&self, name: &str) -> bool {
        self.members.get(name).is_some_and(|m| m.listed)
    }

    /// Tells whether the list or operators have this host itself leaving.
    pub fn is_drained(&self, name: &str) -> bool {
        self.drained.contains(name)
    }

    fn take_list(&mut self, hosts: Vec<Host>, now: time::Instant) {
        for m in self.members.values_mut() {
            m.listed = false;
        }
        for host in hosts {
            if host.name == self.me {
                continue;
            }
            match self.members.get_mut(&host.name) {
                Some(m) => {
                    m.listed = true;
                    m.host = host;
                }
                None => {
                    let member = Peer {
                        listed: true,
                        draining: false,
                        link: Link::Down(now),
                        failures: 0,
                        host,
                    };
                    self.members.insert(member.host.name.clone(), member);
                }
            }
        }
        // The list lags, so a peer that still beats stays after its entry goes.
        self.members
            .retain(|_, m| m.listed || !matches!(m.link, Link::Down(_)));
    }

    fn lose(&mut self, name: &str, now: time::Instant) {
        let Some(m) = self.members.get_mut(name) else {
            return;
        };
        let wait = RETRY_FIRST.saturating_mul(1 << m.failures.min(8));
        let wait = wait.min(RETRY_MOST);
        m.failures += 1;
        m.link = Link::Down(now + wait.mul_f64(self.random.random_range(0.5..=1.0)));
    }

    fn due(&mut self, now: time::Instant) -> Vec<LinkAction> {
        let mut actions = Vec::new();
        for m in self.members.values_mut() {
            match &m.link {
                Link::Down(at) if *at <= now && m.listed => {
                    m.link = Link::Opening;
                    actions.push(LinkAction::Open(m.host.clone()));
                }
                Link::Up(_, heard) if now.saturating_duration_since(*heard) > CLOSE_AFTER => {
                    m.link = Link::Down(now + RETRY_FIRST);
                    actions.push(LinkAction::Close(m.host.name.clone()));
                }
                Link::Down(_) | Link::Opening | Link::Up(..) => {}
            }
        }
        actions
    }
}
