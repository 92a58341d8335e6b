//! Who holds slices, and when a larger one may be used; see docs/DESIGN.md, "Allowances".

use std::collections;
use world::Name;

/// Which entries hold slices, as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Division {
    /// Grows by one with each change.
    pub epoch: u64,
    /// The entries that hold equal slices.
    pub holders: collections::BTreeSet<Name>,
    /// Entries that may still hold a slice of an earlier epoch.
    pub prior: collections::BTreeSet<Name>,
}

/// The part of every allowance that this entry may spend.
///
/// A smaller part is taken at once. A larger part is taken only when every
/// earlier holder has acknowledged the epoch or is proven gone, so the parts
/// never add up to more than the whole.
#[derive(Clone, Debug)]
pub struct ShareTracker {
    me: Name,
    current: Option<Division>,
    acknowledged: collections::BTreeMap<Name, u64>,
    gone: collections::BTreeSet<Name>,
    part: f64,
}

impl ShareTracker {
    /// Begins without any part.
    pub fn new(me: Name) -> Self {
        Self {
            me,
            current: None,
            acknowledged: collections::BTreeMap::new(),
            gone: collections::BTreeSet::new(),
            part: 0.0,
        }
    }

    /// The part that may be spent, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.part
    }

    /// The epoch that this entry goes by, which it tells its peers.
    pub fn epoch(&self) -> u64 {
        self.current.as_ref().map_or(0, |d| d.epoch)
    }

    /// The division that this entry goes by.
    pub fn division(&self) -> Option<&Division> {
        self.current.as_ref()
    }

    /// Takes a division read from the store or a peer; older ones are ignored.
    pub fn adopt(&mut self, division: Division) {
        if division.epoch <= self.epoch() {
            return;
        }
        self.current = Some(division);
        self.part = self.part.min(self.target());
        self.grow();
    }

    /// Notes the epoch that a peer goes by. A peer that speaks is not gone.
    pub fn record_epoch(&mut self, peer: &Name, epoch: u64) {
        self.gone.remove(peer);
        let known = self.acknowledged.entry(peer.clone()).or_insert(0);
        *known = (*known).max(epoch);
        self.grow();
    }

    /// Notes a new incarnation of a peer, whose acknowledgements start anew.
    pub fn forget_peer(&mut self, peer: &Name) {
        self.acknowledged.remove(peer);
        self.gone.remove(peer);
    }

    /// Notes that a peer is proven gone: off the platform's list and silent for
    /// longer than it can sleep without noticing.
    pub fn mark_gone(&mut self, peer: &Name) {
        self.gone.insert(peer.clone());
        self.grow();
    }

    /// Tells whether no entry may still hold a slice of an earlier epoch.
    pub fn is_settled(&self) -> bool {
        let Some(division) = &self.current else {
            return false;
        };
        division
            .prior
            .iter()
            .all(|p| self.passed(p, division.epoch))
    }

    /// Proposes the next division where `live` differs from the holders.
    pub fn propose(&self, live: &collections::BTreeSet<Name>) -> Option<Division> {
        let Some(current) = &self.current else {
            return Some(Division {
                epoch: 1,
                holders: live.clone(),
                prior: collections::BTreeSet::new(),
            });
        };
        if *live == current.holders {
            return None;
        }
        let mut prior = current.holders.clone();
        if !self.is_settled() {
            prior.extend(current.prior.iter().cloned());
        }
        Some(Division {
            epoch: current.epoch + 1,
            holders: live.clone(),
            prior,
        })
    }

    fn passed(&self, peer: &Name, epoch: u64) -> bool {
        *peer == self.me
            || self.gone.contains(peer)
            || self.acknowledged.get(peer).is_some_and(|e| *e >= epoch)
    }

    fn target(&self) -> f64 {
        match &self.current {
            Some(d) if d.holders.contains(&self.me) => 1.0 / d.holders.len() as f64,
            _ => 0.0,
        }
    }

    fn grow(&mut self) {
        if self.is_settled() {
            self.part = self.target();
        }
    }
}
