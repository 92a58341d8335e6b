//! Upstream hosts as the platform's list tells of them.

use std::net;
use world::Name;

/// One life of an upstream host's process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Names this life; a restart mostly brings another.
    pub id: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub condition: Condition,
    /// Its part in a model service; none for plain services.
    pub part: Option<Part>,
    /// When it was started, in Unix milliseconds; 0 where it doesn't say.
    pub born: u64,
}

/// Whether an upstream host takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It does.
    Ready,
    /// It is leaving: it finishes what it has.
    Draining,
}

/// What an engine does.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Part {
    /// It reads prompts.
    Prefill,
    /// It generates answers.
    Decode,
}
