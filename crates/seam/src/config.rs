//! The decoded configuration that operators publish for all entries.

use std::collections;
use std::time;
use world::Name;

/// One version of the configuration; an entry applies it as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version number; it increases with each change, by steps of any size.
    pub version: u64,
    /// Rules that map a host name and path to services.
    pub routes: Vec<Route>,
    /// The services that the routes refer to.
    pub services: Vec<Service>,
    /// Organisations with their API keys; `None` when no route requires a key.
    pub tenants: Option<Vec<Tenant>>,
    /// Size and time limits for callers' requests and connections.
    pub limits: Limits,
}

/// Maps requests for one host name and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route in logs.
    pub name: Name,
    /// Host name that the request must ask for, compared without case.
    pub host: Name,
    /// Prefix that the request's path must start with.
    pub path_prefix: Name,
    /// Whether a request may be sent more than once, and whether it streams.
    pub retry: RetryMode,
    /// Longest time from a request's arrival until its response must be complete.
    pub timeout: time::Duration,
    /// Latency target: time until the response, or a stream's first event.
    pub latency_target: time::Duration,
    /// Latency target for the pause between two events of a stream.
    pub max_gap: time::Duration,
    /// Priority of the requests; 0 is served first.
    pub priority: u8,
    /// Services with the relative weights by which requests are distributed.
    pub weights: Vec<(Name, u32)>,
    /// Maximum number of upstream hosts that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests without an API key are accepted.
    pub allow_anonymous: bool,
}

/// Whether a request may be executed more than once, and whether its response
/// is a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryMode {
    /// The request may be executed more than once.
    Idempotent,
    /// The request is executed at most once.
    AtMostOnce,
    /// The response is a stream, and the request is executed at most once.
    Stream,
    /// The response is a stream that another host may continue after the last
    /// event that the caller received.
    Resumable,
}

impl RetryMode {
    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryMode::Stream | RetryMode::Resumable)
    }

    /// Returns whether a request may be executed a second time.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RetryMode::Idempotent | RetryMode::Resumable)
    }
}

/// A group of hosts that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service, which routes refer to.
    pub name: Name,
    /// Maximum number of connections that one host accepts from all clients together.
    pub max_connections: u32,
    /// Requests a second that a cold host tolerates from all entries; `None` where hosts are
    /// never cold.
    pub cold_per_s: Option<f64>,
    /// Properties of the engines; `None` for a plain service, which has none.
    pub engine: Option<EngineSpec>,
}

/// Capacity and timing of the engines of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Number of requests that one engine runs concurrently.
    pub slots: u32,
    /// Size of one engine's KV cache, in tokens.
    pub capacity_tokens: u64,
    /// How long a prefill engine keeps a KV cache for the decode engine to fetch.
    pub handle_ttl: time::Duration,
    /// Longest lifetime of a reservation.
    pub max_reservation: time::Duration,
    /// How long an engine takes to switch between prefill and decode.
    pub switch_time: time::Duration,
}

/// An organisation with its API keys and its allowance.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the organisation.
    pub name: Name,
    /// API keys that are currently valid.
    pub keys: collections::BTreeSet<Name>,
    /// Priority that overrides the route's, where set; 0 is served first.
    pub priority: Option<u8>,
    /// Allowance in units per second; `None` for no limit.
    pub rate: Option<f64>,
    /// Units that may be spent at once on top of the rate.
    pub burst: f64,
    /// Units charged for a request that states no token counts; `None` where the
    /// allowance counts requests, so that each one is charged one unit.
    pub default_units: Option<u64>,
}

/// Limits on the size and duration of callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Longest time that a caller may take to send a request head.
    pub head_timeout: time::Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: time::Duration,
}

impl Default for Limits {
    /// Limits in force until the first configuration has been read.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: time::Duration::from_secs(3),
            idle_timeout: time::Duration::from_secs(15),
        }
    }
}

impl Config {
    /// Returns the route for a host name whose prefix is the longest match of `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&*r.path_prefix))
            .max_by_key(|r| r.path_prefix.len())
    }

    /// Returns whether callers compete for hosts by the operator's will: streams of one service
    /// differ in their priority, or hosts are cold for a time. The decisions on contention are
    /// made only then; see docs/design/contention.md.
    pub fn asks_for_sharing(&self) -> bool {
        let has_cold_hosts = self.services.iter().any(|s| s.cold_per_s.is_some());
        has_cold_hosts || self.services.iter().any(|s| self.has_ranks(&s.name))
    }

    /// Returns the priority of the most urgent route of a service, if they differ in it.
    pub fn first_priority(&self, service: &str) -> Option<u8> {
        let first = self.stream_priorities(service).min();
        first.filter(|_| self.has_ranks(service))
    }

    /// Returns whether the streams of a service differ in their priority.
    pub fn has_ranks(&self, service: &str) -> bool {
        let first = self.stream_priorities(service).next();
        self.stream_priorities(service).any(|p| Some(p) != first)
    }

    fn stream_priorities(&self, service: &str) -> impl Iterator<Item = u8> {
        let streams = self.routes.iter().filter(|r| r.retry.is_stream());
        let sends = move |r: &&Route| r.weights.iter().any(|(name, _)| &**name == service);
        streams.filter(sends).map(|r| r.priority)
    }

    /// Returns the service with this name.
    pub fn find_service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| &*s.name == name)
    }

    /// Returns the priorities of each service's routes with the number of routes, for the log.
    pub fn route_priorities(&self) -> String {
        let mut counts: collections::BTreeMap<(&str, u8), usize> = collections::BTreeMap::new();
        for route in &self.routes {
            for (service, _) in &route.weights {
                *counts.entry((service, route.priority)).or_default() += 1;
            }
        }
        let texts = counts.iter().map(|((s, p), n)| format!("{s}:{p}x{n}"));
        texts.collect::<Vec<String>>().join(",")
    }

    /// Returns the organisation that an API key belongs to.
    pub fn tenant_for_key(&self, key: &str) -> Option<&Tenant> {
        let tenants = self.tenants.as_ref()?;
        tenants.iter().find(|t| t.keys.contains(key))
    }
}
