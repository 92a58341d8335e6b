//! Which availability zones are evacuated, as the operator asks in the platform's store.
//!
//! What is known is complete as of a revision of the store. So the newer of two reports, of this
//! entry or of a peer, holds as a whole, in whatever order they arrive. See
//! docs/design/evacuation.md.

use seam::Revision;
use std::collections;
use world::Name;

/// The evacuated zones as of a revision of the store, as entries tell them to each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EvacuationReport {
    /// Revision up to which this is complete.
    #[serde(rename = "seen")]
    pub revision: Revision,
    /// The zones that are evacuated.
    #[serde(default)]
    pub zones: collections::BTreeSet<Name>,
}

/// What has changed with a report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Zones whose evacuation has begun.
    pub begun: Vec<Name>,
    /// Zones whose evacuation was taken back.
    pub ended: Vec<Name>,
}

/// The evacuated zones as an entry knows them.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// None until a list was read or a peer has told one.
    known: Option<EvacuationReport>,
}

impl Evacuations {
    /// Applies a whole report from the store or a peer, unless a newer one is known.
    pub fn apply(&mut self, report: EvacuationReport) -> EvacuationChange {
        let before = self.known.as_ref();
        if before.is_some_and(|b| b.revision >= report.revision) {
            return EvacuationChange::default();
        }
        let none = collections::BTreeSet::new();
        let zones = before.map_or(&none, |b| &b.zones);
        let change = EvacuationChange {
            begun: report.zones.difference(zones).cloned().collect(),
            ended: zones.difference(&report.zones).cloned().collect(),
        };
        self.known = Some(report);
        change
    }

    /// Returns whether a list was read or told by a peer.
    pub fn is_known(&self) -> bool {
        self.known.is_some()
    }

    /// Returns what to tell the peers.
    pub fn report(&self) -> Option<&EvacuationReport> {
        self.known.as_ref()
    }

    /// Returns the zones that are evacuated.
    pub fn zones(&self) -> collections::BTreeSet<Name> {
        let known = self.known.as_ref();
        known.map(|k| k.zones.clone()).unwrap_or_default()
    }
}

impl EvacuationChange {
    /// Returns whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty()
    }
}
