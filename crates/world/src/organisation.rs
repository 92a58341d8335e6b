//! Organisations and their allowances.

use crate::Name;

/// An organisation with its allowance over the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Organisation {
    /// Its name in keys, logs and metrics.
    pub name: Name,
    /// Tokens per second, prompt and answer together.
    pub rate: u64,
    /// Tokens that may be used at once after a quiet time.
    pub burst: u64,
}
