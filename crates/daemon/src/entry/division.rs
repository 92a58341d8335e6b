//! Who holds slices of allowances: the entry's side of [`quota::Epochs`].

use crate::entry::state::Entry;
use crate::entry::watchers::DivisionRecord;
use member::PeerStatus;
use std::collections;
use std::sync;
use std::time;
use world::Name;
use world::Role;

/// How often a changed set of entries may be proposed as a new epoch.
const PROPOSE_INTERVAL: time::Duration = time::Duration::from_secs(1);

impl Entry {
    /// Takes a division of allowances, from the store with its revision there
    /// or from a peer.
    pub(crate) fn adopt_division(&self, division: quota::Division, revision: Option<u64>) {
        if let Some(revision) = revision {
            let mut known = self.peers.division_revision.lock();
            *known = (*known).max(revision);
        }
        let epoch = {
            let mut allowances = self.allowances.lock();
            allowances.epochs.adopt(division);
            allowances.epochs.epoch()
        };
        self.recompute_slices();
        trace::Line::new("division_adopted")
            .with("epoch", epoch)
            .with("part", self.allowances.lock().epochs.share())
            .info();
    }
}

/// Keeps track of the other holders of slices; `read` tells that the host list
/// was read anew.
pub(crate) fn watch_holders(entry: &Entry, list_read: bool, now: time::Instant) {
    let Some(names) = other_holders(entry) else {
        return;
    };
    let isolated = {
        let roster = entry.peers.roster.lock();
        let mut holders = entry.peers.holders.lock();
        holders.set_holders(&names, now);
        if list_read {
            holders.record_list(|name| roster.is_listed(name), now);
        }
        holders.is_isolated(now)
    };
    entry.trust.lock().set_isolated(isolated);
}

/// Notes which holders of slices are proven gone.
pub(crate) fn mark_gone_holders(entry: &Entry, now: time::Instant) {
    let gone = entry.peers.holders.lock().gone(now);
    if gone.is_empty() {
        return;
    }
    for name in gone {
        entry.allowances.lock().epochs.mark_gone(&name);
    }
    entry.recompute_slices();
}

/// All but this entry that hold slices or may still do.
fn other_holders(entry: &Entry) -> Option<collections::BTreeSet<Name>> {
    let allowances = entry.allowances.lock();
    let division = allowances.epochs.division()?;
    let all = division.holders.union(&division.prior);
    Some(
        all.filter(|h| **h != entry.settings.host)
            .cloned()
            .collect(),
    )
}

/// Proposes a division where entries have come or gone. The least of the live
/// names proposes, so that the others need not race; CAS decides all the same.
pub(crate) fn propose_division(entry: &sync::Arc<Entry>, now: time::Instant) {
    let live = desired_holders(entry, now);
    if live.first() != Some(&entry.settings.host) {
        return;
    }
    let Some(division) = entry.allowances.lock().epochs.propose(&live) else {
        return;
    };
    {
        let mut proposed = entry.peers.proposed_at.lock();
        let too_soon = proposed.is_some_and(|at| now - at < PROPOSE_INTERVAL);
        if too_soon {
            return;
        }
        *proposed = Some(now);
    }
    let entry = entry.clone();
    tokio::task::spawn_blocking(move || write_division(&entry, division));
}

/// Entries that should hold slices: those that beat, and holders that are not
/// proven gone, who may be paused and come back.
fn desired_holders(entry: &Entry, now: time::Instant) -> collections::BTreeSet<Name> {
    let roster = entry.peers.roster.lock();
    let mut live: collections::BTreeSet<Name> = roster
        .connected()
        .filter(|(host, identity)| {
            identity.role == Role::Entry
                && matches!(
                    roster.status(&host.name, now),
                    PeerStatus::Serving | PeerStatus::Suspect
                )
        })
        .map(|(host, _)| host.name.clone())
        .collect();
    let allowances = entry.allowances.lock();
    let holders = entry.peers.holders.lock();
    if let Some(division) = allowances.epochs.division() {
        let paused = division.holders.iter().filter(|h| {
            let leaving = roster.status(h, now) == PeerStatus::Leaving;
            holders.may_be_alive(h, now) && !leaving
        });
        live.extend(paused.cloned());
    }
    if entry.load.current().draining || roster.is_drained(&entry.settings.host) {
        live.remove(&entry.settings.host);
    } else {
        live.insert(entry.settings.host.clone());
    }
    live
}

fn write_division(entry: &Entry, division: quota::Division) {
    let client = store::Client::new(entry.settings.store);
    let known = *entry.peers.division_revision.lock();
    let record = DivisionRecord {
        division,
        writer: format!("{}-{:x}", entry.settings.host, rand::random::<u64>()),
    };
    let Ok(value) = serde_json::to_vec(&record) else {
        return;
    };
    match client.swap_surely(store::EPOCH_KEY, known, &value) {
        Ok(store::Swap::Done(revision)) => entry.adopt_division(record.division, Some(revision)),
        Ok(store::Swap::Lost(Some(now))) => {
            if let Ok(record) = serde_json::from_slice::<DivisionRecord>(&now.value) {
                entry.adopt_division(record.division, Some(now.revision));
            }
        }
        Ok(store::Swap::Lost(None)) => {}
        Err(error) => trace::Line::new("division_unwritten")
            .with("error", error)
            .debug(),
    }
}
