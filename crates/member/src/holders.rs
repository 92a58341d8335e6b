//! The other holders of slices, and the proof that one is gone; see docs/DESIGN.md, "Cut off".

use crate::validity::StateValidity;
use std::collections;
use std::time;
use world::Name;

/// Silence and absence from the host list that prove a holder gone: longer than
/// [`StateValidity::LIMIT`] by more than two readers of the list may differ.
const GUARD: time::Duration = time::Duration::from_secs(15);
/// Absence is only known while the list is read.
const LIST_AGE: time::Duration = time::Duration::from_secs(2);

/// What this entry has seen of the other holders of slices.
#[derive(Clone, Debug, Default)]
pub struct SliceHolders {
    seen: collections::BTreeMap<Name, Holder>,
    read: Option<time::Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    heard: time::Instant,
    /// Since when the list has not named it.
    absent: Option<time::Instant>,
}

impl SliceHolders {
    /// Takes the holders of the division in force; new ones count as heard now.
    pub fn set_holders(&mut self, names: &collections::BTreeSet<Name>, now: time::Instant) {
        self.seen.retain(|name, _| names.contains(name));
        for name in names {
            self.seen.entry(name.clone()).or_insert(Holder {
                heard: now,
                absent: None,
            });
        }
    }

    /// Notes a heartbeat.
    pub fn record_heartbeat(&mut self, name: &str, now: time::Instant) {
        if let Some(holder) = self.seen.get_mut(name) {
            holder.heard = holder.heard.max(now);
        }
    }

    /// Notes a reading of the host list.
    pub fn record_list(&mut self, listed: impl Fn(&str) -> bool, now: time::Instant) {
        // What happened between readings far apart is not known.
        let gap = self.read.is_none_or(|at| now - at > LIST_AGE);
        self.read = Some(now);
        for (name, holder) in &mut self.seen {
            holder.absent = match listed(name) {
                true => None,
                false if gap => Some(now),
                false => holder.absent.or(Some(now)),
            };
        }
    }

    /// The holders that are proven gone: a living one would have stopped.
    pub fn gone(&self, now: time::Instant) -> Vec<Name> {
        if self.read.is_none_or(|at| now - at > LIST_AGE) {
            return Vec::new();
        }
        let old = |at| now.saturating_duration_since(at) > GUARD;
        self.seen
            .iter()
            .filter(|(_, h)| old(h.heard) && h.absent.is_some_and(old))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Tells whether a holder that the list still names can't be heard.
    pub fn is_isolated(&self, now: time::Instant) -> bool {
        let silent =
            |h: &Holder| now.saturating_duration_since(h.heard) > StateValidity::MAX_SILENCE;
        self.seen.values().any(|h| h.absent.is_none() && silent(h))
    }

    /// Tells whether a holder was heard lately or may merely be paused.
    pub fn may_be_alive(&self, name: &str, now: time::Instant) -> bool {
        self.seen
            .get(name)
            .is_some_and(|h| now.saturating_duration_since(h.heard) <= GUARD || h.absent.is_none())
    }
}
