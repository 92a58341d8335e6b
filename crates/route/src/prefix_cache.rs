//! Guesses at what engines have cached, since their own events come late and with gaps.

use std::collections;
use world::Name;
use xxhash_rust::xxh3;

/// Bytes of prompt in one block; about 64 tokens.
const BLOCK_BYTES: usize = 256;
/// Bytes that make up a token, for estimates.
const TOKEN_BYTES: u64 = 4;
/// Blocks remembered for each host.
const HOST_BLOCKS: usize = 16_384;

/// The hashes of a prompt's prefixes, one for each whole block.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixHashes {
    hashes: Vec<u64>,
}

impl PrefixHashes {
    /// Cuts a prompt into blocks.
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

    /// One hash for each whole block, of all that stands before its end.
    pub fn hashes(&self) -> &[u64] {
        &self.hashes
    }
}

/// Changes of what an engine has cached, as its agent tells them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheDelta {
    /// Blocks that are cached now.
    pub added: Vec<u64>,
    /// Blocks that are cached no more.
    pub removed: Vec<u64>,
}

/// What each host's engine has probably cached, from the prompts sent there.
///
/// Engines publish cache events late and with gaps, so the entry goes by what
/// it sent and by how much of it the engine then found cached; of what others
/// sent, the host's agent tells.
#[derive(Clone, Debug, Default)]
pub struct CacheEstimates {
    hosts: collections::BTreeMap<Name, Cached>,
}

#[derive(Clone, Debug, Default)]
struct Cached {
    known: collections::HashSet<u64>,
    order: collections::VecDeque<u64>,
}

impl Cached {
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
    /// Notes that a prompt was worked through at a host.
    pub fn record_prompt(&mut self, host: &Name, blocks: &PrefixHashes) {
        let cached = self.hosts.entry(host.clone()).or_default();
        for hash in &blocks.hashes {
            cached.insert(*hash);
        }
        while cached.order.len() > HOST_BLOCKS {
            if let Some(old) = cached.order.pop_front() {
                cached.known.remove(&old);
            }
        }
    }

    /// Forgets what an engine reported not to have: it cached only `tokens`.
    pub fn correct(&mut self, host: &Name, blocks: &PrefixHashes, tokens: u64) {
        let kept = usize::try_from(tokens * TOKEN_BYTES).unwrap_or(usize::MAX) / BLOCK_BYTES;
        let Some(cached) = self.hosts.get_mut(host) else {
            return;
        };
        for hash in blocks.hashes.iter().skip(kept) {
            cached.remove(*hash);
        }
    }

    /// Takes what a host's agent tells of its engine's cache.
    pub fn apply_delta(&mut self, host: &Name, news: &CacheDelta) {
        let cached = self.hosts.entry(host.clone()).or_default();
        for hash in &news.removed {
            cached.remove(*hash);
        }
        for hash in &news.added {
            cached.insert(*hash);
        }
    }

    /// Forgets a host whose engine restarted.
    pub fn forget_host(&mut self, host: &str) {
        self.hosts.remove(host);
    }

    /// Expects how many tokens of the prompt a host has cached.
    pub fn cached_tokens(&self, host: &str, blocks: &PrefixHashes) -> u64 {
        let Some(cached) = self.hosts.get(host) else {
            return 0;
        };
        let found = blocks
            .hashes
            .iter()
            .take_while(|h| cached.known.contains(h))
            .count();
        (found * BLOCK_BYTES) as u64 / TOKEN_BYTES
    }
}
