//! Whether a process may still act on what it was once told; see docs/DESIGN.md, "Cut off".

use std::time;

/// What lets an entry believe that its slices are its own and its keys in force.
///
/// The store tells of every change, so hearing from it is enough. In an outage
/// nothing can change, but an entry that is cut off alone sees the same silence.
/// The host list tells the two apart: it names this host, so that nobody may
/// have taken it for gone, and every other holder on it can be heard.
#[derive(Clone, Copy, Debug)]
pub struct StateValidity {
    store: time::Instant,
    named: Option<time::Instant>,
    isolated: bool,
}

impl StateValidity {
    /// How long either sign is good for.
    pub const MAX_SILENCE: time::Duration = time::Duration::from_secs(10);

    /// Begins with the start of the process, which has no slices yet.
    pub fn new(now: time::Instant) -> Self {
        Self {
            store: now,
            named: None,
            isolated: false,
        }
    }

    /// Notes an answer of the store.
    pub fn record_store_answer(&mut self, now: time::Instant) {
        self.store = self.store.max(now);
    }

    /// Notes a reading of the host list, and whether it names this host.
    pub fn record_list(&mut self, names_me: bool, now: time::Instant) {
        self.named = names_me.then_some(now);
    }

    /// Notes whether a listed holder of slices can't be heard.
    pub fn set_isolated(&mut self, isolated: bool) {
        self.isolated = isolated;
    }

    /// Tells whether the host list is sign enough, so that the store need not
    /// be asked.
    pub fn list_suffices(&self, now: time::Instant) -> bool {
        let fresh = |at| now.saturating_duration_since(at) <= Self::MAX_SILENCE;
        !self.isolated && self.named.is_some_and(fresh)
    }

    /// Tells whether decisions about keys and allowances may be made.
    pub fn is_valid(&self, now: time::Instant) -> bool {
        let told = now.saturating_duration_since(self.store) <= Self::MAX_SILENCE;
        told || self.list_suffices(now)
    }
}
