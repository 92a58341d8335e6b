//! The decisions about model requests, without threads, sockets or clock.
//!
//! An entry holds a [`Fleet`] of views and one [`Journey`] for each request; an
//! agent holds [`Seats`] and a [`Lane`]. Each moves on by events that carry the
//! time, so that any order of events can be replayed; see docs/DESIGN.md.

mod backoff;
mod budget;
mod cache_mirror;
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

pub use backoff::Backoff;
pub use budget::{RetryBudget, RetryCause};
pub use cache_mirror::{CacheEvent, CacheMirror, SyncStatus};
pub use fleet::{AgentView, DecodeDemand, Fleet, LoadReport, PrefillChoice};
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

/// Tokens that one piece of engine memory holds.
pub const PIECE_TOKENS: u64 = 2_000;

/// Pieces of memory that a prompt and its whole answer need.
pub fn pieces_for(prompt: u64, answer: u64) -> u32 {
    let pieces = (prompt + answer).div_ceil(PIECE_TOKENS).max(1);
    u32::try_from(pieces).unwrap_or(u32::MAX)
}
