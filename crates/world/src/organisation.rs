//! Organisations and their token allowances.

use crate::Name;

/// An organisation with its token allowance, which holds for the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Organisation {
    /// The organisation's name in keys, logs and metrics.
    pub name: Name,
    /// Allowed tokens per second; prompt and answer tokens both count.
    pub rate: u64,
    /// The most tokens that can be used at once, after a time without use.
    pub burst: u64,
}
