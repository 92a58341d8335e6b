//! At-most-once execution of calls: a call's idempotency key is claimed durably
//! before the call runs.
//!
//! All claims of a shard are stored under one key of the store, which is written by
//! compare-and-swap. Entries normally send all calls of a shard to the same agent. If
//! several agents receive calls of one shard, still only one of them can claim a key.
//! docs/DESIGN.md, "At most once", compares this with a journal on each agent.

mod event;
mod record;
mod shard;
mod shard_state;
mod tracker;

pub use event::{Action, Call, CallId, CallOutcome, Event, ReadResult, WriteResult};
pub use record::{Answer, Claim, ClaimState, HexHash, ShardRecord};
pub use shard::{Shard, shard_of};
pub use tracker::ClaimTracker;
