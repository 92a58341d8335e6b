//! Calls that may run at most once, by claims made durable before they run.
//!
//! All claims of a shard lie under one key of the store, which is written by
//! compare-and-swap: whoever is home to a shard, and however many think they
//! are, only one of them can claim a key. docs/DESIGN.md, "At most once",
//! weighs this against journals of each agent.

mod event;
mod record;
mod shard;
mod shard_state;
mod tracker;

pub use event::{Action, Call, CallId, CallOutcome, Event, ReadResult, WriteResult};
pub use record::{Answer, Claim, ClaimState, KeyHash, ShardRecord};
pub use shard::{Shard, shard_of};
pub use tracker::ClaimTracker;
