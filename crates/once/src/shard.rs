//! Sharding of claims, so that calls of different shards don't wait for each other.

use xxhash_rust::xxh3;

/// Number of shards, each with a key of its own in the store.
const SHARD_COUNT: u64 = 16;

/// Index of a shard; all claims of a shard are stored under one key of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(pub u32);

/// Returns the shard of an organisation's idempotency key.
pub fn shard_of(organisation: &str, key: &str) -> Shard {
    let mut state = xxh3::Xxh3::new();
    state.update(organisation.as_bytes());
    state.update(&[0]);
    state.update(key.as_bytes());
    Shard(u32::try_from(state.digest() % SHARD_COUNT).unwrap_or(0))
}

impl Shard {
    /// Returns the shard's key in the store: `prefix` and two decimal digits.
    pub fn store_key(self, prefix: &str) -> String {
        format!("{prefix}{:02}", self.0)
    }
}
