//! Positions in the history of the platform's store.
//!
//! After a disaster the store may come back from a copy that is some seconds old. It then
//! gives revisions and lease ids out again, for other things than before, and raises its
//! era. A number of the store therefore names nothing without its era. See
//! docs/PLATFORM.md, "The store comes back from a copy".

/// Tells histories of the store apart: it rises each time that the store comes back from
/// a copy. 0 for a store that does not state it.
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
pub struct Era(pub u64);

/// A revision of the store. All revisions of an era are newer than those of eras before.
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
#[display("{era}.{number}")]
pub struct Revision {
    /// The era in which the store gave the number.
    pub era: Era,
    /// Rises with each change of the store within an era.
    pub number: u64,
}

impl Revision {
    /// Creates the revision `number` of an era.
    pub fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }
}

/// Identifies a lease of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId {
    /// The era in which the store granted the lease. In a later one, the number may be
    /// that of another holder's lease.
    pub era: Era,
    /// Number of the lease within its era.
    pub number: u64,
}
