//! Tracks the other entries that hold shares of the allowances, and proves when
//! one of them is gone; see docs/DESIGN.md, "Cut off".

use crate::validity::StateValidity;
use std::collections;
use std::time;
use world::Name;

/// A holder that has been silent and missing from the host list for longer than
/// this is gone. The time exceeds [`StateValidity::MAX_SILENCE`] by more than the
/// times at which two entries read the list may differ.
const GONE_AFTER: time::Duration = time::Duration::from_secs(15);
/// A holder counts as absent only if the host list was read at most this long ago.
const MAX_LIST_AGE: time::Duration = time::Duration::from_secs(2);

/// What this entry knows of the other entries that hold shares of the allowances.
#[derive(Clone, Debug, Default)]
pub struct ShareHolders {
    holders: collections::BTreeMap<Name, Holder>,
    /// When the host list was last read.
    list_read_at: Option<time::Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    last_heartbeat: time::Instant,
    /// Since when the host list has not contained this holder; `None` while it does.
    absent_since: Option<time::Instant>,
}

impl ShareHolders {
    /// Sets the holders of the current division; a new one counts as having sent a
    /// heartbeat now.
    pub fn set_holders(&mut self, names: &collections::BTreeSet<Name>, now: time::Instant) {
        self.holders.retain(|name, _| names.contains(name));
        for name in names {
            self.holders.entry(name.clone()).or_insert(Holder {
                last_heartbeat: now,
                absent_since: None,
            });
        }
    }

    /// Records a heartbeat of a holder.
    pub fn record_heartbeat(&mut self, name: &str, now: time::Instant) {
        if let Some(holder) = self.holders.get_mut(name) {
            holder.last_heartbeat = holder.last_heartbeat.max(now);
        }
    }

    /// Records that the host list was read; `listed` returns whether it contains
    /// the host of this name.
    pub fn record_host_list(&mut self, listed: impl Fn(&str) -> bool, now: time::Instant) {
        // During a long gap between two reads, a holder may have been listed, so its
        // absence counts from the second read on.
        let after_gap = self.list_read_at.is_none_or(|at| now - at > MAX_LIST_AGE);
        self.list_read_at = Some(now);
        for (name, holder) in &mut self.holders {
            holder.absent_since = match listed(name) {
                true => None,
                false if after_gap => Some(now),
                false => holder.absent_since.or(Some(now)),
            };
        }
    }

    /// Returns the holders that are proven gone. If the process of such a holder
    /// still ran, [`StateValidity`] would have stopped it from making decisions.
    pub fn gone(&self, now: time::Instant) -> Vec<Name> {
        if self.list_read_at.is_none_or(|at| now - at > MAX_LIST_AGE) {
            return Vec::new();
        }
        let long_ago = |at| now.saturating_duration_since(at) > GONE_AFTER;
        self.holders
            .iter()
            .filter(|(_, h)| long_ago(h.last_heartbeat) && h.absent_since.is_some_and(long_ago))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns whether any holder in the host list sends no heartbeats, which means
    /// that this entry may be disconnected from it.
    pub fn is_isolated(&self, now: time::Instant) -> bool {
        let silent = |h: &Holder| {
            now.saturating_duration_since(h.last_heartbeat) > StateValidity::MAX_SILENCE
        };
        self.holders
            .values()
            .any(|h| h.absent_since.is_none() && silent(h))
    }

    /// Returns whether a holder may still be alive: it sent a heartbeat recently, or
    /// the host list contains it and it may only be paused.
    pub fn may_be_alive(&self, name: &str, now: time::Instant) -> bool {
        self.holders.get(name).is_some_and(|h| {
            now.saturating_duration_since(h.last_heartbeat) <= GONE_AFTER
                || h.absent_since.is_none()
        })
    }
}
