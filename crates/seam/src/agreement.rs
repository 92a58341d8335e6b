//! The configuration as an entry on a platform goes by it.

use std::collections;
use std::time;
use world::Name;

/// What operators have agreed, as one version that holds whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Agreement {
    /// Grows with each change, in uneven steps.
    pub version: u64,
    /// Which requests go where.
    pub routes: Vec<Route>,
    /// The pools behind the routes.
    pub services: Vec<Service>,
    /// Organisations with their keys; none where every route is open.
    pub tenants: Option<Vec<Tenant>>,
    /// What a caller may send.
    pub limits: Limits,
}

/// A path of one host name that leads to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name in logs.
    pub name: Name,
    /// The host name that callers ask for.
    pub host: Name,
    /// What the path begins with.
    pub prefix: Name,
    /// What may be repeated.
    pub repeat: Repeat,
    /// The longest time that a caller is kept waiting.
    pub timeout: time::Duration,
    /// Within this time an answer, or a stream's first event, is on time.
    pub target: time::Duration,
    /// The longest pause between a stream's events that is on time.
    pub gap: time::Duration,
    /// Its rank; 0 goes first.
    pub rank: u8,
    /// Services with the weights by which requests are divided.
    pub split: Vec<(Name, u32)>,
    /// Most upstream hosts that one request may be sent to.
    pub attempts: u32,
    /// Whether it is open to callers without a key.
    pub open: bool,
}

/// What may be done again with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may run more than once.
    Idempotent,
    /// It runs once at most.
    Once,
    /// A stream that runs once at most.
    Stream,
    /// A stream that may go on at another host after its last event.
    Resumable,
}

impl Repeat {
    /// Tells whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Repeat::Stream | Repeat::Resumable)
    }

    /// Tells whether a request may run a second time.
    pub fn repeatable(self) -> bool {
        matches!(self, Repeat::Idempotent | Repeat::Resumable)
    }
}

/// A pool of hosts that serve the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Connections that one host accepts from all callers together.
    pub connections: u32,
    /// What its engines can do; none for a plain service.
    pub engine: Option<EngineFacts>,
}

/// What the engines of a service can do.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineFacts {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that the KV cache holds.
    pub capacity: u64,
    /// How long a prefilled KV cache is kept for its taker.
    pub handle_life: time::Duration,
    /// How long a reservation may last.
    pub hold_life: time::Duration,
    /// How long a change of stage takes.
    pub switch_time: time::Duration,
}

/// An organisation with its keys and allowance.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: Name,
    /// Its keys in force.
    pub keys: collections::BTreeSet<Name>,
    /// Its rank, which goes before a route's.
    pub rank: Option<u8>,
    /// Units a second; none for no limit.
    pub rate: Option<f64>,
    /// Units on top of the rate.
    pub burst: f64,
    /// Units of a request that names no tokens; none where requests count as one.
    pub plain: Option<u64>,
}

/// What a caller may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a head.
    pub head_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time for a head.
    pub head_time: time::Duration,
    /// Time that a connection may stay idle.
    pub idle_time: time::Duration,
}

impl Default for Limits {
    /// What holds before a configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: time::Duration::from_secs(3),
            idle_time: time::Duration::from_secs(15),
        }
    }
}

impl Agreement {
    /// Finds the route with the longest prefix of `path` for a host name.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&*r.prefix))
            .max_by_key(|r| r.prefix.len())
    }

    /// Finds a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| &*s.name == name)
    }

    /// Finds the organisation that holds a key.
    pub fn holder(&self, key: &str) -> Option<&Tenant> {
        let tenants = self.tenants.as_ref()?;
        tenants.iter().find(|t| t.keys.contains(key))
    }
}
