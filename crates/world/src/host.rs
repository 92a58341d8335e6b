//! Hosts, their states, and the roles of the processes on them.

use crate::Name;
use std::net;

/// A host as the platform's host list describes it; that list may be out of
/// date.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Host {
    /// The host's name.
    pub name: Name,
    /// Where this system's process on the host listens for peers.
    pub address: net::SocketAddr,
    /// The host's availability zone.
    pub zone: Name,
    /// Whether the host is about to be removed.
    pub state: HostState,
}

/// Whether a host is in service or about to be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host will be removed; it must get no new requests.
    Leaving,
}

/// The role of the process on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Accepts callers' requests.
    Entry,
    /// Agent of an engine that prefills prompts.
    Prefill,
    /// Agent of an engine that decodes answers.
    Decode,
    /// Agent of a plain HTTP service.
    Service,
}

impl Role {
    /// The role's name in settings and logs.
    pub fn name(self) -> &'static str {
        match self {
            Role::Entry => "entry",
            Role::Prefill => "prefill",
            Role::Decode => "decode",
            Role::Service => "service",
        }
    }
}
