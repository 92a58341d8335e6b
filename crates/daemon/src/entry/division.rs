//! Maintains the division of allowances among the entries, using
//! [`quota::ShareTracker`].

use crate::entry::state::Entry;
use crate::entry::watchers::DivisionRecord;
use member::PeerStatus;
use std::collections;
use std::sync;
use std::time;
use world::Name;
use world::Role;

/// Minimum time between two proposals of a new division.
const PROPOSE_INTERVAL: time::Duration = time::Duration::from_secs(1);

impl Entry {
    /// Adopts a division of allowances if its epoch is newer than that of the current
    /// one. `revision` is its revision in the store, or `None` if it came from a peer.
    pub(crate) fn adopt_division(&self, division: quota::Division, revision: Option<u64>) {
        if let Some(revision) = revision {
            let mut known = self.peers.division_revision.lock();
            *known = (*known).max(revision);
        }
        let epoch = {
            let mut allowances = self.allowances.lock();
            allowances.shares.adopt(division);
            allowances.shares.epoch()
        };
        self.recompute_shares();
        trace::LogLine::new("division_adopted")
            .with("epoch", epoch)
            .with("part", self.allowances.lock().shares.share())
            .info();
    }
}

/// Updates what is known of the other holders of shares. `list_read` is true if a
/// new host list was applied in this tick.
pub(crate) fn update_holders(entry: &Entry, list_read: bool, now: time::Instant) {
    let Some(names) = other_holders(entry) else {
        return;
    };
    let isolated = {
        let peer_table = entry.peers.peer_table.lock();
        let mut holders = entry.peers.share_holders.lock();
        holders.set_holders(&names, now);
        if list_read {
            holders.record_host_list(|name| peer_table.is_listed(name), now);
        }
        holders.is_isolated(now)
    };
    entry.validity.lock().set_isolated(isolated);
}

/// Marks the holders of shares that are proven gone, so that this entry's share
/// can grow.
pub(crate) fn mark_gone_holders(entry: &Entry, now: time::Instant) {
    let gone = entry.peers.share_holders.lock().gone(now);
    if gone.is_empty() {
        return;
    }
    for name in gone {
        entry.allowances.lock().shares.mark_gone(&name);
    }
    entry.recompute_shares();
}

/// Returns the other entries that hold a share or may still hold one of an earlier
/// epoch, or `None` if no division has been adopted yet.
fn other_holders(entry: &Entry) -> Option<collections::BTreeSet<Name>> {
    let allowances = entry.allowances.lock();
    let division = allowances.shares.division()?;
    let holders = division.holders.union(&division.prior);
    Some(
        holders
            .filter(|h| **h != entry.settings.host)
            .cloned()
            .collect(),
    )
}

/// Proposes a new division if the set of entries that should hold shares has changed.
/// Only the one with the smallest name among them proposes, to avoid conflicting
/// writes; the compare-and-swap in the store keeps this safe if several do.
pub(crate) fn propose_division(entry: &sync::Arc<Entry>, now: time::Instant) {
    let desired = desired_holders(entry, now);
    if desired.first() != Some(&entry.settings.host) {
        return;
    }
    let Some(division) = entry.allowances.lock().shares.propose(&desired) else {
        return;
    };
    {
        let mut proposed_at = entry.peers.proposed_at.lock();
        let too_soon = proposed_at.is_some_and(|at| now - at < PROPOSE_INTERVAL);
        if too_soon {
            return;
        }
        *proposed_at = Some(now);
    }
    let entry = entry.clone();
    tokio::task::spawn_blocking(move || write_division(&entry, division));
}

/// Returns the entries that should hold shares: entries with an open link that are
/// not leaving, and current holders that may still be alive, since they may only be
/// paused.
fn desired_holders(entry: &Entry, now: time::Instant) -> collections::BTreeSet<Name> {
    let peer_table = entry.peers.peer_table.lock();
    let mut desired: collections::BTreeSet<Name> = peer_table
        .connected()
        .filter(|(host, identity)| {
            identity.role == Role::Entry
                && matches!(
                    peer_table.status(&host.name, now),
                    PeerStatus::Serving | PeerStatus::Suspect
                )
        })
        .map(|(host, _)| host.name.clone())
        .collect();
    let allowances = entry.allowances.lock();
    let holders = entry.peers.share_holders.lock();
    if let Some(division) = allowances.shares.division() {
        let maybe_paused = division.holders.iter().filter(|h| {
            let leaving = peer_table.status(h, now) == PeerStatus::Leaving;
            holders.may_be_alive(h, now) && !leaving
        });
        desired.extend(maybe_paused.cloned());
    }
    if entry.load.current().draining || peer_table.is_drained(&entry.settings.host) {
        desired.remove(&entry.settings.host);
    } else {
        desired.insert(entry.settings.host.clone());
    }
    desired
}

fn write_division(entry: &Entry, division: quota::Division) {
    let client = store::Client::new(entry.settings.store);
    let revision = *entry.peers.division_revision.lock();
    let record = DivisionRecord {
        division,
        writer: format!("{}-{:x}", entry.settings.host, rand::random::<u64>()),
    };
    let Ok(value) = serde_json::to_vec(&record) else {
        return;
    };
    match client.compare_and_swap_confirmed(store::EPOCH_KEY, revision, &value) {
        Ok(store::SwapResult::Written(revision)) => {
            entry.adopt_division(record.division, Some(revision))
        }
        Ok(store::SwapResult::Conflict(Some(found))) => {
            if let Ok(record) = serde_json::from_slice::<DivisionRecord>(&found.value) {
                entry.adopt_division(record.division, Some(found.revision));
            }
        }
        Ok(store::SwapResult::Conflict(None)) => {}
        Err(error) => trace::LogLine::new("division_unwritten")
            .with("error", error)
            .debug(),
    }
}
