//! Tracks which entries hold shares of the allowances, and when an entry may use
//! a larger share; see docs/DESIGN.md, "Allowances".

use std::collections;
use world::Name;

/// The division of all allowances among entries, as stored in the store.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Division {
    /// Number of the division; each change increases it by one.
    pub epoch: u64,
    /// The entries that hold equal shares.
    pub holders: collections::BTreeSet<Name>,
    /// Entries that may still hold a share of an earlier epoch.
    pub prior: collections::BTreeSet<Name>,
}

/// Tracks the share of every allowance that this entry may spend.
///
/// A smaller share takes effect immediately. A larger share takes effect only
/// when every earlier holder has acknowledged the epoch or is proven gone, so
/// that the shares never add up to more than the whole.
#[derive(Clone, Debug)]
pub struct ShareTracker {
    own_name: Name,
    current: Option<Division>,
    /// Latest epoch that each peer has adopted.
    acknowledged: collections::BTreeMap<Name, u64>,
    /// Peers that are proven gone.
    gone: collections::BTreeSet<Name>,
    /// The share that this entry may spend, from 0 to 1.
    share: f64,
}

impl ShareTracker {
    /// Starts without any share.
    pub fn new(own_name: Name) -> Self {
        Self {
            own_name,
            current: None,
            acknowledged: collections::BTreeMap::new(),
            gone: collections::BTreeSet::new(),
            share: 0.0,
        }
    }

    /// Returns the share that this entry may spend, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns the epoch that this entry has adopted and announces to its peers, or
    /// 0 if it has not adopted any division yet.
    pub fn epoch(&self) -> u64 {
        self.current.as_ref().map_or(0, |d| d.epoch)
    }

    /// Returns the division that this entry has adopted.
    pub fn division(&self) -> Option<&Division> {
        self.current.as_ref()
    }

    /// Adopts a division received from the store or a peer if its epoch is newer
    /// than the current one; ignores it otherwise.
    pub fn adopt(&mut self, division: Division) {
        if division.epoch <= self.epoch() {
            return;
        }
        self.current = Some(division);
        self.share = self.share.min(self.assigned_share());
        self.apply_if_acknowledged();
    }

    /// Records the epoch that a peer has adopted. A peer that sends messages is
    /// not gone.
    pub fn record_epoch(&mut self, peer: &Name, epoch: u64) {
        self.gone.remove(peer);
        let known = self.acknowledged.entry(peer.clone()).or_insert(0);
        *known = (*known).max(epoch);
        self.apply_if_acknowledged();
    }

    /// Drops the epoch that a peer has acknowledged, because its process was restarted
    /// and the new incarnation has acknowledged nothing yet.
    pub fn forget_peer(&mut self, peer: &Name) {
        self.acknowledged.remove(peer);
        self.gone.remove(peer);
    }

    /// Records that a peer is proven gone: it is off the platform's host list,
    /// and silent for longer than it can be paused without noticing.
    pub fn mark_gone(&mut self, peer: &Name) {
        self.gone.insert(peer.clone());
        self.apply_if_acknowledged();
    }

    /// Returns whether no entry can still hold a share of an earlier epoch: every
    /// earlier holder has acknowledged the current epoch or is proven gone.
    pub fn is_fully_acknowledged(&self) -> bool {
        let Some(division) = &self.current else {
            return false;
        };
        division
            .prior
            .iter()
            .all(|p| self.is_acknowledged_or_gone(p, division.epoch))
    }

    /// Returns the next division, or `None` if the `live` entries are the current
    /// holders.
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
        if !self.is_fully_acknowledged() {
            prior.extend(current.prior.iter().cloned());
        }
        Some(Division {
            epoch: current.epoch + 1,
            holders: live.clone(),
            prior,
        })
    }

    /// Returns whether an entry cannot hold a share of an epoch before the given one
    /// any more.
    fn is_acknowledged_or_gone(&self, peer: &Name, epoch: u64) -> bool {
        *peer == self.own_name
            || self.gone.contains(peer)
            || self.acknowledged.get(peer).is_some_and(|e| *e >= epoch)
    }

    /// Returns the share that the current division assigns to this entry, from 0 to
    /// 1.
    fn assigned_share(&self) -> f64 {
        match &self.current {
            Some(d) if d.holders.contains(&self.own_name) => 1.0 / d.holders.len() as f64,
            _ => 0.0,
        }
    }

    /// Puts the assigned share into force if no entry can still hold an earlier one.
    fn apply_if_acknowledged(&mut self) {
        if self.is_fully_acknowledged() {
            self.share = self.assigned_share();
        }
    }
}
