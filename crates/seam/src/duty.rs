//! What a process is told of itself when it starts.

use std::net;
use std::time;
use world::Name;

/// A host's place and addresses.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// The host's name.
    pub host: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its address.
    pub ip: net::IpAddr,
    /// Where it takes callers' connections.
    pub listen: net::SocketAddr,
    /// Where the platform asks whether it is ready.
    pub ready: Option<net::SocketAddr>,
    /// Where its peers reach it.
    pub links: net::SocketAddr,
    /// The store's address.
    pub store: net::SocketAddr,
    /// Whether the whole system starts for the first time, so that nothing has
    /// been used yet.
    pub first: bool,
    /// What it must keep to.
    pub duties: Duties,
    /// What it may use.
    pub allowed: Allowed,
}

/// The platform's promises and demands, in time and shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Duties {
    /// A leaving upstream host gets nothing after this time.
    pub drain: time::Duration,
    /// A stop is forced after this time.
    pub grace: time::Duration,
    /// A configuration is in force after this time.
    pub apply: time::Duration,
    /// Repeats for each request that are allowed.
    pub retry_ratio: f64,
    /// The window over which repeats are counted.
    pub retry_window: time::Duration,
    /// Repeats that are allowed on top of the ratio.
    pub retry_slack: f64,
    /// The window over which allowances are counted.
    pub quota_window: time::Duration,
    /// The life of the orders' lease.
    pub lease: time::Duration,
    /// How often upstream hosts renew their entries.
    pub heartbeat: time::Duration,
}

/// What a process may use of its host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowed {
    /// Descriptors.
    pub descriptors: u64,
    /// Megabytes of memory.
    pub memory: u64,
}
