//! What a request needs from a decode agent, and how well an agent suits it.

use crate::agent_view::AgentView;
use std::cmp;
use std::time;

/// What a request needs from a decode agent.
#[derive(Clone, Copy, Debug)]
pub struct DecodeDemand<'a> {
    /// Upstream that serves the request.
    pub upstream: &'a str,
    /// Pieces of engine memory that the request needs.
    pub pieces: u32,
    /// Target for the time between the request's tokens.
    pub gap_target: time::Duration,
    /// Strictest target for the time between tokens of any class.
    pub strictest_target: time::Duration,
}

impl DecodeDemand<'_> {
    /// Ranks how well an agent suits the request; 0 is best.
    ///
    /// An agent that is too slow for the strictest class when full can use all its
    /// seats only for other classes. Those prefer it, and the strictest class tries
    /// it last.
    pub(crate) fn mismatch(&self, view: &AgentView) -> u8 {
        let meets = |target: time::Duration| {
            let rate = view.load.saturated_rate;
            rate <= 0.0 || 1.0 / rate <= target.as_secs_f64()
        };
        match (meets(self.gap_target), meets(self.strictest_target)) {
            (true, false) => 0,
            (true, true) => 1,
            (false, _) => 2,
        }
    }
}

/// Returns whether one more stream at the agent would miss its target.
pub(crate) fn misses_target(view: &AgentView, gap_target: time::Duration) -> bool {
    view.load.token_rate > 0.0 && 1.0 / view.load.token_rate > gap_target.as_secs_f64()
}

/// Sort key of decode agents: those with room for the request first, then by
/// waiting bids, then by free seats.
pub(crate) fn decode_load(view: &AgentView, pieces: u32) -> (bool, u32, cmp::Reverse<u32>) {
    let free = view.load.free_seats.saturating_sub(view.sent_bids);
    let has_room = free > 0 && view.load.free_pieces >= pieces;
    let waiting = view.load.waiting_requests + view.sent_bids;
    (!has_room, waiting, cmp::Reverse(free))
}
