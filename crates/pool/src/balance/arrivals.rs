//! Counts how often a request has arrived at upstream hosts, against the retry budget.
//!
//! All arrivals count, refused ones too, except the first prefill that an engine accepts.
//! So the request's first send to a decode engine is a retry if a prefill engine has refused
//! its prompt before.

/// The arrivals of one request, and the retries taken from the budget for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrivals {
    /// Arrivals that count.
    count: u32,
    /// Retries taken from the budget.
    taken: u32,
    has_prefill: bool,
}

impl Arrivals {
    /// Returns whether one more arrival must be taken from the budget first.
    pub fn needs_retry(&self) -> bool {
        self.count > self.taken
    }

    /// Records that a retry was taken from the budget.
    pub fn record_retry(&mut self) {
        self.taken += 1;
    }

    /// Records that the request is sent.
    pub fn record_send(&mut self) {
        self.count += 1;
    }

    /// Takes the last send back, which has not reached a host.
    pub fn withdraw(&mut self) {
        self.count = self.count.saturating_sub(1);
    }

    /// Records that the last send was a prefill that an engine accepted.
    pub fn record_prefill(&mut self) {
        if !self.has_prefill {
            self.withdraw();
        }
        self.has_prefill = true;
    }
}
