//! The configuration revision that a process applies; see docs/DESIGN.md,
//! "Configuration".

use std::sync;
use world::Configuration;

/// A configuration with its revision number, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ConfigurationRevision {
    /// The revision number, which grows by one with each accepted change.
    pub revision: u64,
    /// The configuration itself.
    #[serde(rename = "contract")]
    pub content: Configuration,
    /// A random id of the write. A writer that did not get the store's response
    /// reads this id back to learn whether its own write succeeded.
    #[serde(default)]
    pub writer: String,
}

/// The configuration in force in one process; its revision never decreases.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfiguration {
    current: Option<sync::Arc<ConfigurationRevision>>,
}

impl ActiveConfiguration {
    /// The configuration in force, if any has been adopted.
    pub fn current(&self) -> Option<&sync::Arc<ConfigurationRevision>> {
        self.current.as_ref()
    }

    /// The revision in force; 0 before any configuration has been adopted.
    pub fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, |c| c.revision)
    }

    /// Adopts a configuration if its revision is newer than the one in force,
    /// whatever its source; returns whether it was.
    pub fn adopt_if_newer(&mut self, candidate: ConfigurationRevision) -> bool {
        if candidate.revision <= self.revision() {
            return false;
        }
        self.current = Some(sync::Arc::new(candidate));
        true
    }
}
