//! Client of the platform's key-value service, over its JSON interface.
//!
//! The calls are those of etcd's gateway that this project needs: range, txn
//! with one comparison, and watch. Each call is counted against a budget,
//! since the service's rates grow more slowly than the fleet; see
//! docs/DESIGN.md, "Store".

mod budget;
mod client;
mod errors;
mod message;
mod watch;

pub use budget::RateLimiter;
pub use client::{Client, SwapResult, VersionedValue};
pub use errors::StoreError;
pub use watch::Watch;

/// Where the configuration lies.
pub const CONFIG_KEY: &str = "hornbeampitch/conf";
/// Where the division of allowances among entries lies.
pub const EPOCH_KEY: &str = "hornbeampitch/epoch";
/// Where fencing numbers lie, one for each upstream host.
pub const FENCE_PREFIX: &str = "hornbeampitch/fence/";
/// Where claims of calls that may run only once lie, by shard.
pub const ONCE_PREFIX: &str = "hornbeampitch/once/";
