//! Calls that may run at most once, by claims made durable before they run.

mod shard;

pub use shard::{Shard, shard_of};
