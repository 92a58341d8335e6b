//! Decides whether a process may still act on the data it last received; see
//! docs/DESIGN.md, "Cut off".

use std::time;

/// Tracks the evidence that an entry's shares are still its own and its API keys
/// still in force.
///
/// The store reports every change, so a recent response of the store is enough.
/// During an outage of the store nothing can change, but an entry that is itself
/// disconnected also gets no response. The host list distinguishes the two cases:
/// it must contain this host, so that no other entry can have considered it gone,
/// and every other listed holder must send heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct StateValidity {
    /// When the store last responded.
    store_response: time::Instant,
    /// When the host list was last read, if it then contained this host.
    listed_at: Option<time::Instant>,
    /// Whether any listed holder of shares sends no heartbeats.
    isolated: bool,
}

impl StateValidity {
    /// How long a response of the store or a host list counts as evidence.
    pub const MAX_SILENCE: time::Duration = time::Duration::from_secs(10);

    /// Starts valid. At its start, the process holds no shares yet.
    pub fn new(now: time::Instant) -> Self {
        Self {
            store_response: now,
            listed_at: None,
            isolated: false,
        }
    }

    /// Records a response of the store.
    pub fn record_store_response(&mut self, now: time::Instant) {
        self.store_response = self.store_response.max(now);
    }

    /// Records that the host list was read, and whether it contains this host.
    pub fn record_host_list(&mut self, contains_self: bool, now: time::Instant) {
        self.listed_at = contains_self.then_some(now);
    }

    /// Sets whether any listed holder of shares sends no heartbeats.
    pub fn set_isolated(&mut self, isolated: bool) {
        self.isolated = isolated;
    }

    /// Returns whether the host list alone is sufficient evidence, so that the store
    /// need not be read.
    pub fn host_list_suffices(&self, now: time::Instant) -> bool {
        let recent = |at| now.saturating_duration_since(at) <= Self::MAX_SILENCE;
        !self.isolated && self.listed_at.is_some_and(recent)
    }

    /// Returns whether decisions about keys and allowances may be made.
    pub fn is_valid(&self, now: time::Instant) -> bool {
        let store_recent = now.saturating_duration_since(self.store_response) <= Self::MAX_SILENCE;
        store_recent || self.host_list_suffices(now)
    }
}
