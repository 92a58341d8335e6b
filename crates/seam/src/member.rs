//! Upstream hosts as the platform's membership list describes them.

use std::net;
use std::time;
use world::Name;

/// One process of an upstream host, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identifies the process; a restarted process usually gets another id.
    pub id: Name,
    /// Name of the service that the host belongs to.
    pub service: Name,
    /// Address that the host listens on.
    pub address: net::SocketAddr,
    /// Availability zone of the host.
    pub zone: Name,
    /// Number of requests that the host runs concurrently.
    pub slots: u32,
    /// Whether the host accepts new requests.
    pub state: MemberState,
    /// Role of an engine in its model service; `None` for plain services.
    pub role: Option<Role>,
    /// How long the host stays cold: it tolerates few requests a second until then.
    pub cold_left: time::Duration,
    /// Start time in Unix milliseconds; 0 where the host does not state it.
    pub started_ms: u64,
}

/// Whether an upstream host accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// The host accepts new requests.
    Ready,
    /// The host is shutting down and only finishes the requests it has.
    Draining,
}

/// Role of an engine in a model service with separate prefill and decode.
/// Messages between entries contain the names of its variants.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Role {
    /// The engine processes prompts and fills the KV cache.
    Prefill,
    /// The engine generates the response's tokens.
    Decode,
}
