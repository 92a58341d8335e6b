//! Which configuration a process goes by, and whether it may trust it.
//!
//! Both are pure state machines; docs/DESIGN.md, "Configuration", weighs them.

use std::sync;
use std::time;
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

/// Tells whether a process that hears from nobody may still trust its keys.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    heard: time::Instant,
}

impl Freshness {
    /// How long keyed work goes on with neither store, peers nor host list.
    pub const LIMIT: time::Duration = time::Duration::from_secs(10);

    /// Begins at the start of the process.
    pub fn new(now: time::Instant) -> Self {
        Self { heard: now }
    }

    /// Notes that the store, a peer or the host list has answered.
    pub fn hear(&mut self, now: time::Instant) {
        self.heard = self.heard.max(now);
    }

    /// Tells whether the process has been cut off for too long.
    pub fn expired(&self, now: time::Instant) -> bool {
        now.saturating_duration_since(self.heard) > Self::LIMIT
    }
}
