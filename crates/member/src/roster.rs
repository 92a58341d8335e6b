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
pub struct Identity {
    /// What it serves.
    pub role: Role,
    /// Its upstream; empty for entries.
    pub upstream: Name,
    /// Differs each time the peer's process starts.
    pub incarnation: u64,
}

/// Whether a peer may be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It beats.
    Serving,
    /// It has missed heartbeats.
    Suspect,
    /// It or its host has said that it goes.
    Leaving,
    /// No link to it is open.
    Gone,
}

/// What happens to the roster.
#[derive(Clone, Debug)]
pub enum Event {
    /// The platform's list was read.
    Listed(Vec<Host>),
    /// A link opened.
    Opened(Name, Identity),
    /// A link could not be opened.
    Failed(Name),
    /// A heartbeat came; it says whether the peer is draining.
    Heard(Name, bool),
    /// A link broke.
    Closed(Name),
    /// Time passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a link.
    Open(Host),
    /// Close a link.
    Close(Name),
}

/// All peers that this process knows of.
pub struct Roster {
    me: Name,
    members: collections::BTreeMap<Name, Member>,
    drained: collections::BTreeSet<Name>,
    random: rand_chacha::ChaCha8Rng,
}

struct Member {
    host: Host,
    listed: bool,
    draining: bool,
    link: Link,
    failures: u32,
}

enum Link {
    Down(time::Instant),
    Opening,
    Up(Identity, time::Instant),
}

impl Roster {
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
    pub fn drain(&mut self, hosts: impl IntoIterator<Item = Name>) {
        self.drained = hosts.into_iter().collect();
    }

    /// Moves on by one event.
    pub fn step(&mut self, event: Event, now: time::Instant) -> Vec<Action> {
        match event {
            Event::Listed(hosts) => self.take_list(hosts, now),
            Event::Opened(name, identity) => {
                if let Some(m) = self.members.get_mut(&name) {
                    m.link = Link::Up(identity, now);
                    m.failures = 0;
                    m.draining = false;
                }
            }
            Event::Failed(name) | Event::Closed(name) => self.lose(&name, now),
            Event::Heard(name, draining) => {
                if let Some(m) = self.members.get_mut(&name) {
                    m.draining = draining;
                    if let Link::Up(_, heard) = &mut m.link {
                        *heard = now;
                    }
                }
            }
            Event::Tick => {}
        }
        self.due(now)
    }

    /// Tells whether a host may be given work.
    pub fn standing(&self, name: &str, now: time::Instant) -> Standing {
        let Some(m) = self.members.get(name) else {
            return Standing::Gone;
        };
        let Link::Up(_, heard) = &m.link else {
            return Standing::Gone;
        };
        let leaving = m.draining || m.host.state == HostState::Leaving;
        if leaving || self.drained.contains(name) {
            return Standing::Leaving;
        }
        if now.saturating_duration_since(*heard) > SUSPECT_AFTER {
            return Standing::Suspect;
        }
        Standing::Serving
    }

    /// The peers with an open link, in the order of their names.
    pub fn linked(&self) -> impl Iterator<Item = (&Host, &Identity)> {
        self.members.values().filter_map(|m| match &m.link {
            Link::Up(identity, _) => Some((&m.host, identity)),
            Link::Down(_) | Link::Opening => None,
        })
    }

    /// Tells whether the platform's last list names the host.
    pub fn listed(&self, name: &str) -> bool {
        self.members.get(name).is_some_and(|m| m.listed)
    }

    /// Tells whether the list or operators have this host itself leaving.
    pub fn leaving(&self, name: &str) -> bool {
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
                    let member = Member {
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

    fn due(&mut self, now: time::Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for m in self.members.values_mut() {
            match &m.link {
                Link::Down(at) if *at <= now && m.listed => {
                    m.link = Link::Opening;
                    actions.push(Action::Open(m.host.clone()));
                }
                Link::Up(_, heard) if now.saturating_duration_since(*heard) > CLOSE_AFTER => {
                    m.link = Link::Down(now + RETRY_FIRST);
                    actions.push(Action::Close(m.host.name.clone()));
                }
                Link::Down(_) | Link::Opening | Link::Up(..) => {}
            }
        }
        actions
    }
}
