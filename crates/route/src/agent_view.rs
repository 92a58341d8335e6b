//! What an entry knows of one agent.

use std::time;
use world::Name;
use world::Role;

/// An agent's load, as the agent reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free decode seats.
    pub free_seats: u32,
    /// Free pieces of engine memory.
    pub free_pieces: u32,
    /// Bids that wait for a seat or, at a plain service, calls in progress.
    pub waiting_requests: u32,
    /// Uncached prompt tokens that wait or run at a prefill agent.
    pub backlog_tokens: u64,
    /// Measured rate in tokens per second: of prefills at a prefill agent, of each
    /// stream with one more request at a decode agent; 0 while unknown.
    pub token_rate: f64,
    /// Rate of each stream with all seats taken, in tokens per second; 0 while
    /// unknown.
    pub saturated_rate: f64,
}

/// What an entry knows of one agent. It may be outdated.
#[derive(Clone, Debug)]
pub struct AgentView {
    /// Availability zone of the agent's host.
    pub zone: Name,
    /// Role of the agent.
    pub role: Role,
    /// Upstream whose engine the agent manages.
    pub upstream: Name,
    /// Whether the agent accepts new requests.
    pub serving: bool,
    /// Load from the agent's last report.
    pub load: LoadReport,
    /// Bids sent since the last report.
    pub(crate) sent_bids: u32,
    /// Uncached prompt tokens sent since the last report.
    pub(crate) sent_tokens: u64,
    /// Requests running there that are suspected of crashing engines.
    pub(crate) suspects: u32,
    /// End of the time in which the agent is avoided after a failure.
    pub(crate) avoid_until: Option<time::Instant>,
}

impl AgentView {
    /// Creates the view of an agent that has not reported its load yet.
    pub fn new(zone: Name, role: Role, upstream: Name) -> Self {
        Self {
            zone,
            role,
            upstream,
            serving: true,
            load: LoadReport::default(),
            sent_bids: 0,
            sent_tokens: 0,
            suspects: 0,
            avoid_until: None,
        }
    }

    /// Returns whether the agent had no recent failure.
    pub(crate) fn is_healthy(&self, now: time::Instant) -> bool {
        self.avoid_until.is_none_or(|until| until <= now)
    }
}
