//! The division of claims, so that calls for different shards never wait for each other.

use xxhash_rust::xxh3;

/// Claims are divided among so many keys of the store.
const SHARDS: u64 = 16;

/// One part of all claims, kept under one key of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(pub u32);

/// Finds the shard of an organisation's idempotency key.
pub fn shard_of(organisation: &str, key: &str) -> Shard {
    let mut state = xxh3::Xxh3::new();
    state.update(organisation.as_bytes());
    state.update(&[0]);
    state.update(key.as_bytes());
    Shard(u32::try_from(state.digest() % SHARDS).unwrap_or(0))
}

impl Shard {
    /// The shard's key in the store, below `prefix`.
    pub fn store_key(self, prefix: &str) -> String {
        format!("{prefix}{:02}", self.0)
    }
}
