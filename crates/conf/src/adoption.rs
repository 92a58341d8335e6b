//! Which configuration a process goes by; see docs/DESIGN.md, "Configuration".

use std::sync;
use world::Contract;

/// A configuration with its revision.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Revised {
    /// Grows by one with each accepted change.
    pub revision: u64,
    /// What is agreed.
    pub contract: Contract,
    /// Differs with each write, so that a lost answer can be read back.
    #[serde(default)]
    pub writer: String,
}

/// The configuration in force at one process; it never goes back.
#[derive(Clone, Debug, Default)]
pub struct Adoption {
    current: Option<sync::Arc<Revised>>,
}

impl Adoption {
    /// The configuration in force.
    pub fn current(&self) -> Option<&sync::Arc<Revised>> {
        self.current.as_ref()
    }

    /// The revision in force; 0 before any.
    pub fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, |c| c.revision)
    }

    /// Takes a configuration from any source; tells whether it was newer.
    pub fn offer(&mut self, offered: Revised) -> bool {
        if offered.revision <= self.revision() {
            return false;
        }
        self.current = Some(sync::Arc::new(offered));
        true
    }
}
