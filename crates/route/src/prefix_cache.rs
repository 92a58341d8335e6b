//! Estimates of which prompt prefixes each engine has cached.

use std::collections;
use world::Name;
use xxhash_rust::xxh3;

/// Bytes of a prompt in one block; about 64 tokens.
const BLOCK_BYTES: usize = 256;
/// Average bytes per token, for estimates.
const TOKEN_BYTES: u64 = 4;
/// Most blocks remembered for each host.
const MAX_HOST_BLOCKS: usize = 16_384;

/// Hashes of a prompt's prefixes: one for each complete block, covering all bytes
/// up to the end of that block.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixHashes {
    hashes: Vec<u64>,
}

impl PrefixHashes {
    /// Hashes a prompt's prefixes.
    pub fn of_prompt(prompt: &str) -> Self {
        let mut state = xxh3::Xxh3::new();
        let hashes = prompt
            .as_bytes()
            .chunks_exact(BLOCK_BYTES)
            .map(|block| {
                state.update(block);
                state.digest()
            })
            .collect();
        Self { hashes }
    }

    /// The hashes, shortest prefix first.
    pub fn hashes(&self) -> &[u64] {
        &self.hashes
    }
}

/// Changes of an engine's prefix cache, as its agent reports them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheDelta {
    /// Hashes of blocks that were added.
    pub added: Vec<u64>,
    /// Hashes of blocks that were evicted.
    pub removed: Vec<u64>,
}

/// Estimates of the prefixes that each host's engine has cached.
///
/// Engines publish their cache events late and with gaps. An entry therefore
/// derives its estimate from the prompts it sent and from the cached tokens that
/// the engine reported for them. Blocks of prompts that other entries sent come in
/// the reports of the host's agent.
#[derive(Clone, Debug, Default)]
pub struct CacheEstimates {
    hosts: collections::BTreeMap<Name, CachedBlocks>,
}

/// Hashes of the blocks that a host is estimated to have cached.
#[derive(Clone, Debug, Default)]
struct CachedBlocks {
    known: collections::HashSet<u64>,
    /// The same hashes, oldest first.
    order: collections::VecDeque<u64>,
}

impl CachedBlocks {
    fn insert(&mut self, hash: u64) {
        if self.known.insert(hash) {
            self.order.push_back(hash);
        }
    }

    fn remove(&mut self, hash: u64) {
        if self.known.remove(&hash) {
            self.order.retain(|h| *h != hash);
        }
    }
}

impl CacheEstimates {
    /// Records that a prompt was sent to a host, whose oldest blocks are forgotten
    /// beyond the limit.
    pub fn record_prompt(&mut self, host: &Name, prefixes: &PrefixHashes) {
        let cached = self.hosts.entry(host.clone()).or_default();
        for hash in &prefixes.hashes {
            cached.insert(*hash);
        }
        while cached.order.len() > MAX_HOST_BLOCKS {
            if let Some(old) = cached.order.pop_front() {
                cached.known.remove(&old);
            }
        }
    }

    /// Removes the blocks of a prompt beyond the first `tokens`, which are all that
    /// the engine reported as cached.
    pub fn trim_prompt(&mut self, host: &Name, prefixes: &PrefixHashes, tokens: u64) {
        let kept_blocks = usize::try_from(tokens * TOKEN_BYTES).unwrap_or(usize::MAX) / BLOCK_BYTES;
        let Some(cached) = self.hosts.get_mut(host) else {
            return;
        };
        for hash in prefixes.hashes.iter().skip(kept_blocks) {
            cached.remove(*hash);
        }
    }

    /// Applies the changes that a host's agent reported.
    pub fn apply_delta(&mut self, host: &Name, delta: &CacheDelta) {
        let cached = self.hosts.entry(host.clone()).or_default();
        for hash in &delta.removed {
            cached.remove(*hash);
        }
        for hash in &delta.added {
            cached.insert(*hash);
        }
    }

    /// Forgets a host that left or whose agent restarted.
    pub fn forget_host(&mut self, host: &str) {
        self.hosts.remove(host);
    }

    /// Estimates how many tokens of a prompt's beginning a host has cached.
    pub fn cached_tokens(&self, host: &str, prefixes: &PrefixHashes) -> u64 {
        let Some(cached) = self.hosts.get(host) else {
            return 0;
        };
        let cached_blocks = prefixes
            .hashes
            .iter()
            .take_while(|h| cached.known.contains(h))
            .count();
        (cached_blocks * BLOCK_BYTES) as u64 / TOKEN_BYTES
    }
}
