//! Which engines keep room for urgent streams, and how much.
//!
//! Room that is spread over all engines fits no stream. So a few engines keep a place for a
//! large one each, in an order that all entries find alike from the engines' ids.

use std::collections;
use std::hash;
use std::hash::Hash;
use std::hash::Hasher;
use world::Name;

/// Places are this many times as large as the mean stream, so that most streams fit.
const PLACE_FACTOR: u64 = 2;
/// The largest part of an engine's memory that is kept.
const MAX_PART: u64 = 2;

/// Returns the memory that each engine keeps free, where streams that need `stream_tokens` in
/// the mean are to find `kept_tokens` in all. Each engine has `capacity_tokens`.
pub fn kept_room<'a>(
    engines: impl Iterator<Item = &'a Name>,
    kept_tokens: u64,
    stream_tokens: u64,
    capacity_tokens: u64,
) -> collections::BTreeMap<Name, u64> {
    let place = stream_tokens
        .saturating_mul(PLACE_FACTOR)
        .min(capacity_tokens / MAX_PART);
    if place == 0 || kept_tokens == 0 {
        return collections::BTreeMap::new();
    }
    let count = usize::try_from(kept_tokens.div_ceil(place)).unwrap_or(usize::MAX);
    let mut engines: Vec<(u64, &Name)> = engines.map(|id| (key(id), id)).collect();
    engines.sort();
    let keeping = engines.into_iter().take(count);
    keeping.map(|(_, id)| (id.clone(), place)).collect()
}

fn key(id: &Name) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
