//! Routing and scheduling decisions for model requests, as state machines without I/O.
//!
//! A request asks several decode agents for a seat, which is a slot in the decode
//! batch of an engine. Asking an agent is called a bid, and the first agent to grant
//! its bid serves the request. While the request holds the seat, a prefill agent
//! computes the prompt's KV cache, which the decode engine then imports.
//!
//! An entry keeps one [`Fleet`] with its view of all agents, and one
//! [`RequestLifecycle`] for each request. An agent keeps a [`SeatScheduler`] for
//! its decode engine and a [`PrefillQueue`] for its prefill engine. None of them
//! uses threads, sockets or a clock: callers pass events together with the time,
//! so tests can replay any order of events. See docs/DESIGN.md.

mod agent_view;
mod backoff;
mod budget;
mod cache_mirror;
mod decode_demand;
mod fleet;
mod gap_model;
mod lifecycle;
mod prefill_queue;
mod prefix_cache;
mod quarantine;
mod recent_usage;
mod seat_scheduler;
mod transfer_costs;
mod urgency;
mod wait_queue;

pub use agent_view::{AgentView, LoadReport};
pub use backoff::Backoff;
pub use budget::{RetryBudget, RetryCause};
pub use cache_mirror::{CacheEvent, CacheMirror, SyncStatus};
pub use decode_demand::DecodeDemand;
pub use fleet::{Fleet, PrefillChoice};
pub use gap_model::TokenGapModel;
pub use lifecycle::{Action, Context, Event, Failure, Fault, RequestLifecycle, RequestSpec, Stage};
pub use prefill_queue::PrefillQueue;
pub use prefix_cache::{CacheDelta, CacheEstimates, PrefixHashes};
pub use quarantine::{CrashId, Digest, Quarantine};
pub use recent_usage::RecentUsage;
pub use seat_scheduler::SeatScheduler;
pub use transfer_costs::TransferCosts;
pub use urgency::Urgency;
pub use wait_queue::AttemptId;

/// Number of tokens whose KV cache fits into one piece, the unit of engine memory.
pub const PIECE_TOKENS: u64 = 2_000;

/// Returns the pieces of engine memory that a prompt and its longest answer need,
/// both given in tokens; at least 1.
pub fn pieces_for(prompt_tokens: u64, answer_tokens: u64) -> u32 {
    let pieces = (prompt_tokens + answer_tokens)
        .div_ceil(PIECE_TOKENS)
        .max(1);
    u32::try_from(pieces).unwrap_or(u32::MAX)
}
