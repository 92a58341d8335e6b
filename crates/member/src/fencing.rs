//! Fencing numbers, so that two givers never order one upstream; see docs/DESIGN.md, "Membership".

use std::time;

/// Longest time that an order of an earlier giver may still be on its way to an
/// upstream: the giver's own timeout, and as much again.
const ORDER_LIFE: time::Duration = time::Duration::from_secs(3);

/// When an agent may give orders to its upstream.
///
/// An upstream that checks fencing numbers refuses an earlier giver by itself.
/// For one that doesn't, the earlier giver must be gone and its last order must
/// have arrived: the bound port proves the first, a wait the second.
#[derive(Clone, Debug)]
pub struct FencingState {
    checked: bool,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No number is held.
    Unclaimed,
    /// The number was taken at this moment.
    Claimed(u64, time::Instant),
    /// Somebody holds a later number.
    Deposed,
}

impl FencingState {
    /// Begins without a number. `checked` tells whether the upstream refuses
    /// old numbers.
    pub fn new(checked: bool) -> Self {
        Self {
            checked,
            state: State::Unclaimed,
        }
    }

    /// Tells whether a number must be taken from the store.
    pub fn needs_number(&self) -> bool {
        self.state == State::Unclaimed
    }

    /// Notes the number taken.
    pub fn set_number(&mut self, number: u64, now: time::Instant) {
        self.state = State::Claimed(number, now);
    }

    /// Notes a pause of this process: another may have taken over meanwhile.
    pub fn drop_number(&mut self) {
        if self.state != State::Deposed {
            self.state = State::Unclaimed;
        }
    }

    /// Notes that the upstream or the store knows a later number.
    pub fn supersede(&mut self) {
        self.state = State::Deposed;
    }

    /// The number to order with, if orders may be given now.
    pub fn number(&self, now: time::Instant) -> Option<u64> {
        match self.state {
            State::Claimed(number, _) if self.checked => Some(number),
            State::Claimed(number, at) if now.saturating_duration_since(at) >= ORDER_LIFE => {
                Some(number)
            }
            State::Claimed(..) | State::Unclaimed | State::Deposed => None,
        }
    }
}
