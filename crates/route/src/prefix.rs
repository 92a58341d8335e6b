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
pub struct Blocks {
    hashes: Vec<u64>,
}

impl Blocks {
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
}

/// What each host's engine has probably cached, from the prompts sent there.
///
/// Engines publish cache events late and with gaps, so the entry goes by what
/// it sent and by how much of it the engine then found cached.
#[derive(Clone, Debug, Default)]
pub struct Prefixes {
    hosts: collections::BTreeMap<Name, Cached>,
}

#[derive(Clone, Debug, Default)]
struct Cached {
    known: collections::HashSet<u64>,
    order: collections::VecDeque<u64>,
}

impl Prefixes {
    /// Notes that a prompt was worked through at a host.
    pub fn learn(&mut self, host: &Name, blocks: &Blocks) {
        let cached = self.hosts.entry(host.clone()).or_default();
        for hash in &blocks.hashes {
            if cached.known.insert(*hash) {
                cached.order.push_back(*hash);
            }
        }
        while cached.order.len() > HOST_BLOCKS {
            if let Some(old) = cached.order.pop_front() {
                cached.known.remove(&old);
            }
        }
    }

    /// Forgets what an engine reported not to have: it cached only `tokens`.
    pub fn correct(&mut self, host: &Name, blocks: &Blocks, tokens: u64) {
        let kept = usize::try_from(tokens * TOKEN_BYTES).unwrap_or(usize::MAX) / BLOCK_BYTES;
        let Some(cached) = self.hosts.get_mut(host) else {
            return;
        };
        for hash in blocks.hashes.iter().skip(kept) {
            if cached.known.remove(hash) {
                cached.order.retain(|h| h != hash);
            }
        }
    }

    /// Forgets a host whose engine restarted.
    pub fn forget(&mut self, host: &str) {
        self.hosts.remove(host);
    }

    /// Expects how many tokens of the prompt a host has cached.
    pub fn expect(&self, host: &str, blocks: &Blocks) -> u64 {
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
