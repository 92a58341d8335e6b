//! Client of an etcd v3 key-value store, over its JSON gateway.
//!
//! It supports the calls that this project needs: range, txn with one
//! comparison, and watch. Range and txn calls are rate limited in each process,
//! since the store's capacity grows more slowly than the number of hosts; see
//! docs/DESIGN.md, "Store".

mod client;
mod errors;
mod message;
mod rate_limiter;
mod watch;

pub use client::{Client, SwapResult, VersionedValue};
pub use errors::StoreError;
pub use rate_limiter::RateLimiter;
pub use watch::Watch;

/// The key of the configuration.
pub const CONFIG_KEY: &str = "hornbeampitch/conf";
/// The key of the record that divides the allowances among entries.
pub const EPOCH_KEY: &str = "hornbeampitch/epoch";
/// The prefix of the keys of fencing numbers, one for each upstream host.
pub const FENCE_PREFIX: &str = "hornbeampitch/fence/";
/// The prefix of the keys of claims on calls that may run only once, one key
/// for each shard.
pub const ONCE_PREFIX: &str = "hornbeampitch/once/";
