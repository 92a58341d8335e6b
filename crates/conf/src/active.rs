//! Which configuration a process goes by; see docs/DESIGN.md, "Configuration".

use std::sync;
use world::Configuration;

/// A configuration with its revision.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ConfigurationRevision {
    /// Grows by one with each accepted change.
    pub revision: u64,
    /// What is agreed.
    #[serde(rename = "contract")]
    pub content: Configuration,
    /// Differs with each write, so that a lost answer can be read back.
    #[serde(default)]
    pub writer: String,
}

/// The configuration in force at one process; it never goes back.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfiguration {
    current: Option<sync::Arc<ConfigurationRevision>>,
}

impl ActiveConfiguration {
    /// The configuration in force.
    pub fn current(&self) -> Option<&sync::Arc<ConfigurationRevision>> {
        self.current.as_ref()
    }

    /// The revision in force; 0 before any.
    pub fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, |c| c.revision)
    }

    /// Takes a configuration from any source; tells whether it was newer.
    pub fn adopt_if_newer(&mut self, offered: ConfigurationRevision) -> bool {
        if offered.revision <= self.revision() {
            return false;
        }
        self.current = Some(sync::Arc::new(offered));
        true
    }
}
