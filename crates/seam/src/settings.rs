//! The settings that the platform gives a process when it starts.

use std::net;
use std::time;
use world::Name;

/// Identity, addresses and bounds of one entry process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the host that the process runs on.
    pub host: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// All availability zones, where they are given.
    pub zones: Vec<Name>,
    /// IP address of the host.
    pub ip: net::IpAddr,
    /// Address to accept callers' connections on.
    pub listen: net::SocketAddr,
    /// Separate address for the platform's readiness probes, if there is one.
    pub readiness_listen: Option<net::SocketAddr>,
    /// Address to accept connections of peers, the other entries, on.
    pub peer_listen: net::SocketAddr,
    /// Address of the metadata store.
    pub store_address: net::SocketAddr,
    /// Whether the whole system starts for the first time, so that no allowance has
    /// been used yet. Otherwise the entry assumes that it was restarted.
    pub first_start: bool,
    /// Times and ratios that the process must keep to.
    pub bounds: Bounds,
    /// Resources of the host that the process may use.
    pub resources: ResourceLimits,
}

/// Times and ratios that the platform requires of an entry, or guarantees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time after which a draining upstream host must receive no more requests.
    pub drain_timeout: time::Duration,
    /// Time between the signal to stop and the forced kill.
    pub grace_period: time::Duration,
    /// Time within which a new configuration must be in force.
    pub apply_timeout: time::Duration,
    /// Number of retries allowed per request.
    pub retry_ratio: f64,
    /// Window over which retries and requests are counted.
    pub retry_window: time::Duration,
    /// Number of retries per window that are allowed in addition to the ratio.
    pub retry_slack: f64,
    /// Window over which the use of allowances is counted.
    pub quota_window: time::Duration,
    /// Fraction of an organisation's limit by which its use may pass it, because
    /// entries learn of each other's use late.
    pub quota_overage: f64,
    /// Units by which its use may pass the limit besides.
    pub quota_slack: f64,
    /// Lifetime of the lease under which an entry gives role orders.
    pub lease_ttl: time::Duration,
    /// Interval at which upstream hosts renew their keys in the store.
    pub heartbeat_interval: time::Duration,
    /// Factor and number by which the requests to a cold host within a second may pass what
    /// it tolerates.
    pub cold_overage: f64,
    /// The number that is added after the factor.
    pub cold_slack: f64,
    /// Time after which the hosts of an evacuated zone must receive no more requests; `None`
    /// where zones are not evacuated.
    pub evacuation_timeout: Option<time::Duration>,
}

/// Resources of the host that a process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    /// Maximum number of open file descriptors.
    pub descriptors: u64,
    /// Maximum memory in megabytes.
    pub memory_mb: u64,
}
