//! Which of two configurations is newer, also after the store came back from a copy.

use seam::Era;

/// Version of a configuration with the era of the store in which it was read.
///
/// The higher version is newer, whatever its era: what the operator has confirmed is
/// written again if the store loses it. An unconfirmed version may be lost for good and its
/// number be given to another one, so of two with one number that of the later era is newer.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
)]
#[display("{number}")]
pub struct ConfigVersion {
    /// The operator's version number; 0 for no configuration.
    pub number: u64,
    /// The latest era in which the store was seen to have this version.
    pub era: Era,
}
