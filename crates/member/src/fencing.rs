//! Fencing numbers, which keep two agents from giving orders to the same upstream
//! at the same time; see docs/DESIGN.md, "Membership".

use std::time;

/// Longest time for which an order of an earlier agent may still be on its way to
/// an upstream. It is twice that agent's own timeout.
const ORDER_LIFETIME: time::Duration = time::Duration::from_secs(3);

/// Tracks whether an agent may give orders to its upstream.
///
/// An upstream that checks fencing numbers refuses the orders of an earlier agent
/// itself. For an upstream that doesn't, the earlier agent must be gone and its
/// last order must have arrived. This agent could only bind its port after the
/// earlier agent had gone; a wait of [`ORDER_LIFETIME`] ensures that its last order
/// has arrived.
#[derive(Clone, Debug)]
pub struct FencingState {
    /// Whether the upstream refuses orders with earlier numbers.
    upstream_checks: bool,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// This agent holds no number.
    Unclaimed,
    /// This agent claimed this number at this time.
    Claimed(u64, time::Instant),
    /// Another agent holds a later number.
    Superseded,
}

impl FencingState {
    /// Starts without a number. `upstream_checks` is true if the upstream refuses
    /// orders with earlier numbers.
    pub fn new(upstream_checks: bool) -> Self {
        Self {
            upstream_checks,
            state: State::Unclaimed,
        }
    }

    /// Returns whether a number must be claimed from the store.
    pub fn needs_number(&self) -> bool {
        self.state == State::Unclaimed
    }

    /// Sets the number that was claimed.
    pub fn set_number(&mut self, number: u64, now: time::Instant) {
        self.state = State::Claimed(number, now);
    }

    /// Drops the number after a pause of this process, during which another agent
    /// may have taken over.
    pub fn drop_number(&mut self) {
        if self.state != State::Superseded {
            self.state = State::Unclaimed;
        }
    }

    /// Records that the upstream or the store knows a later number.
    pub fn supersede(&mut self) {
        self.state = State::Superseded;
    }

    /// Returns the number for orders, or `None` if no order may be given now.
    pub fn number(&self, now: time::Instant) -> Option<u64> {
        match self.state {
            State::Claimed(number, _) if self.upstream_checks => Some(number),
            State::Claimed(number, at) if now.saturating_duration_since(at) >= ORDER_LIFETIME => {
                Some(number)
            }
            State::Claimed(..) | State::Unclaimed | State::Superseded => None,
        }
    }
}
