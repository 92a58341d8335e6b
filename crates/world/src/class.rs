//! Request classes: the latency targets that operators set.

use crate::Name;
use std::time;

/// A request class with its two latency targets, the only means by which
/// operators rank requests.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Class {
    /// The class's name in requests and in upstreams' definitions.
    pub name: Name,
    /// Target for the time from a request's arrival to its first token, in
    /// milliseconds.
    pub first_ms: u64,
    /// Target for the mean time between later tokens, in milliseconds.
    pub token_ms: u64,
    /// Whether requests of the class that are on time yield to those of other
    /// classes.
    pub waits: bool,
}

impl Class {
    /// The target for the time from arrival to the first token.
    pub fn first_token_target(&self) -> time::Duration {
        time::Duration::from_millis(self.first_ms)
    }

    /// The target for the mean time between later tokens.
    pub fn token_gap_target(&self) -> time::Duration {
        time::Duration::from_millis(self.token_ms)
    }
}
