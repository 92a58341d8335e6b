//! What is known of a request before it starts.

use crate::decode_demand::DecodeDemand;
use crate::prefix_cache::PrefixHashes;
use crate::quarantine::Digest;
use std::time;
use world::Name;

/// What is known of a request before it starts.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Upstream that serves the request.
    pub upstream: Name,
    /// Hash of the request's content.
    pub digest: Digest,
    /// Hashes of the prompt's prefixes.
    pub prefixes: PrefixHashes,
    /// Estimated number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens that the answer may have.
    pub max_tokens: u32,
    /// Pieces of engine memory that the request needs.
    pub pieces: u32,
    /// Target for the time between tokens.
    pub gap_target: time::Duration,
    /// Strictest target for the time between tokens of any class.
    pub strictest_target: time::Duration,
}

impl RequestSpec {
    /// What the request needs from a decode agent.
    pub(super) fn demand(&self) -> DecodeDemand<'_> {
        DecodeDemand {
            upstream: &self.upstream,
            pieces: self.pieces,
            gap_target: self.gap_target,
            strictest_target: self.strictest_target,
        }
    }
}
