//! Classes of work, by which operators steer.

use crate::Name;
use std::time;

/// A class of work with its two targets; operators steer by these alone.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Class {
    /// What callers and routes call the class.
    pub name: Name,
    /// Target for the first token, in milliseconds from arrival.
    pub first_ms: u64,
    /// Target for the mean gap between later tokens, in milliseconds.
    pub token_ms: u64,
    /// Whether work of the class yields to work that is pressed.
    pub waits: bool,
}

impl Class {
    /// The target for the first token.
    pub fn first_token_target(&self) -> time::Duration {
        time::Duration::from_millis(self.first_ms)
    }

    /// The target between tokens.
    pub fn token_gap_target(&self) -> time::Duration {
        time::Duration::from_millis(self.token_ms)
    }
}
