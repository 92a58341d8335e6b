//! Hosts and what runs on them.

use crate::Name;
use std::net;

/// A host as the platform's lagging list tells of it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Host {
    /// The host's name.
    pub name: Name,
    /// Where its process of the system listens for peers.
    pub address: net::SocketAddr,
    /// The availability zone it stands in.
    pub zone: Name,
    /// Whether it is about to go.
    pub state: HostState,
}

/// Whether a host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// It is in service.
    Live,
    /// It will go; no new work belongs on it.
    Leaving,
}

/// What the process on a host serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Callers.
    Entry,
    /// An engine that works through prompts.
    Prefill,
    /// An engine that generates answers.
    Decode,
    /// A plain service.
    Service,
}

impl Role {
    /// The role's word in settings and logs.
    pub fn name(self) -> &'static str {
        match self {
            Role::Entry => "entry",
            Role::Prefill => "prefill",
            Role::Decode => "decode",
            Role::Service => "service",
        }
    }
}
