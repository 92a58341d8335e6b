//! Tracks the other entries that hold shares of the allowances, and proves when
//! one of them is gone; see docs/DESIGN.md, "Cut off".

use crate::validity::StateValidity;
use std::collections;
use std::time;
use world::Name;

/// A holder that has been silent and off the host list for longer is gone. This
/// exceeds [`StateValidity::MAX_SILENCE`] by more than the times at which two
/// entries read the list may differ.
const GONE_AFTER: time::Duration = time::Duration::from_secs(15);
/// The absence of a holder is only known while the list is at most this old.
const MAX_LIST_AGE: time::Duration = time::Duration::from_secs(2);

/// What this entry knows of the other holders of shares.
#[derive(Clone, Debug, Default)]
pub struct ShareHolders {
    holders: collections::BTreeMap<Name, Holder>,
    list_read: Option<time::Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    last_heartbeat: time::Instant,
    /// Since when the host list has not contained it.
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

    /// Records that the host list was read; `listed` tells whether it contains a
    /// host.
    pub fn record_host_list(&mut self, listed: impl Fn(&str) -> bool, now: time::Instant) {
        // A holder may have been listed during a long gap between two readings.
        let gap = self.list_read.is_none_or(|at| now - at > MAX_LIST_AGE);
        self.list_read = Some(now);
        for (name, holder) in &mut self.holders {
            holder.absent_since = match listed(name) {
                true => None,
                false if gap => Some(now),
                false => holder.absent_since.or(Some(now)),
            };
        }
    }

    /// Returns the holders that are proven gone; if such a holder were still
    /// running, it would have stopped making decisions.
    pub fn gone(&self, now: time::Instant) -> Vec<Name> {
        if self.list_read.is_none_or(|at| now - at > MAX_LIST_AGE) {
            return Vec::new();
        }
        let long_ago = |at| now.saturating_duration_since(at) > GONE_AFTER;
        self.holders
            .iter()
            .filter(|(_, h)| long_ago(h.last_heartbeat) && h.absent_since.is_some_and(long_ago))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns whether a holder that the host list contains sends no heartbeats.
    pub fn is_isolated(&self, now: time::Instant) -> bool {
        let silent = |h: &Holder| {
            now.saturating_duration_since(h.last_heartbeat) > StateValidity::MAX_SILENCE
        };
        self.holders
            .values()
            .any(|h| h.absent_since.is_none() && silent(h))
    }

    /// Returns whether a holder may still be alive: it sent a heartbeat recently, or it
    /// is listed and may only be paused.
    pub fn may_be_alive(&self, name: &str, now: time::Instant) -> bool {
        self.holders.get(name).is_some_and(|h| {
            now.saturating_duration_since(h.last_heartbeat) <= GONE_AFTER
                || h.absent_since.is_none()
        })
    }
}
