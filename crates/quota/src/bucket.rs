//! The token bucket of one entry's share of one allowance. docs/DESIGN.md,
//! "Allowances", shows why refunds and loans don't exceed the allowance.

use std::collections;
use std::time;

/// Identifies a charge, so that it is settled only once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChargeId(pub String);

/// A token bucket whose charges are reduced later to what was really used.
///
/// A refund never leaves more in the bucket than if the smaller amount had been
/// charged in the first place. Each open charge therefore stores the highest
/// level since it was made; the part of a refund that would have overflowed at
/// that level is lost.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Tokens that the bucket holds at most.
    burst: f64,
    /// Tokens that can be charged.
    level: f64,
    /// The time to which the level has been filled.
    filled_at: time::Instant,
    /// Charges and loans that have not been settled yet.
    charges: collections::BTreeMap<ChargeId, OpenCharge>,
    reservations: Vec<Reservation>,
}

/// A charge or loan that has not been settled after this time is dropped without a
/// refund when the next loan is made.
const CHARGE_EXPIRY: time::Duration = time::Duration::from_secs(3_600);

/// A charge or loan that has not been settled yet.
#[derive(Clone, Copy, Debug)]
struct OpenCharge {
    tokens: f64,
    /// The highest level since the charge was made.
    peak: f64,
    since: time::Instant,
}

/// Capacity that is reserved for a loan while the borrower may still use it.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    tokens: f64,
    until: time::Instant,
}

impl TokenBucket {
    /// Creates an empty bucket. If it started full, a restarted process would grant
    /// again the tokens that its earlier incarnation has already granted. `rate` is in
    /// tokens per second.
    pub fn new(rate: f64, burst: f64, now: time::Instant) -> Self {
        Self {
            rate,
            burst,
            level: 0.0,
            filled_at: now,
            charges: collections::BTreeMap::new(),
            reservations: Vec::new(),
        }
    }

    /// Changes the rate and burst. Tokens above a lower burst are lost at once.
    pub fn resize(&mut self, rate: f64, burst: f64, now: time::Instant) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(self.capacity());
    }

    /// Returns the tokens that can be charged now.
    pub fn level(&mut self, now: time::Instant) -> f64 {
        self.refill(now);
        self.level
    }

    /// Charges `tokens` if the level suffices, and returns whether it does.
    /// Otherwise charges nothing.
    pub fn charge(&mut self, id: ChargeId, tokens: f64, now: time::Instant) -> bool {
        self.refill(now);
        if tokens > self.level {
            return false;
        }
        self.open_charge(id, tokens);
        true
    }

    /// Charges what is available, up to `tokens`, on behalf of a borrower, and
    /// returns the number of tokens lent, rounded down. The capacity stays reduced
    /// by them for as long as the borrower may still use them.
    pub fn lend(&mut self, id: ChargeId, tokens: f64, now: time::Instant) -> f64 {
        self.refill(now);
        self.charges
            .retain(|_, c| now.saturating_duration_since(c.since) < CHARGE_EXPIRY);
        let lent = tokens.min(self.level).max(0.0).floor();
        if lent <= 0.0 || self.charges.contains_key(&id) {
            return 0.0;
        }
        self.open_charge(id, lent);
        self.reservations.push(Reservation {
            tokens: lent,
            until: now + crate::LOAN_LIFETIME,
        });
        lent
    }

    /// Settles a charge: refunds its tokens beyond the `used` ones. Settling it again
    /// has no effect.
    pub fn settle(&mut self, id: &ChargeId, used: f64, now: time::Instant) {
        self.refill(now);
        let Some(charge) = self.charges.remove(id) else {
            return;
        };
        let unused = (charge.tokens - used).max(0.0);
        let refund = unused.min(self.burst - charge.peak).max(0.0);
        let refund = refund.min(self.capacity() - self.level).max(0.0);
        self.level += refund;
        // If only the used tokens had been charged, the level would have been higher
        // by the refund, so the peaks of all other open charges rise by it.
        for other in self.charges.values_mut() {
            other.peak = (other.peak + refund).min(self.burst);
        }
        self.update_peaks();
    }

    fn open_charge(&mut self, id: ChargeId, tokens: f64) {
        self.level -= tokens;
        let peak = self.level;
        let since = self.filled_at;
        self.charges.insert(
            id,
            OpenCharge {
                tokens,
                peak,
                since,
            },
        );
    }

    /// Returns how many tokens the bucket may hold now.
    fn capacity(&self) -> f64 {
        let reserved: f64 = self.reservations.iter().map(|r| r.tokens).sum();
        (self.burst - reserved).max(0.0)
    }

    /// Refills the bucket up to `now`, step by step between the ends of
    /// reservations, since each end raises the capacity.
    fn refill(&mut self, now: time::Instant) {
        while let Some(end) = self.next_reservation_end(now) {
            self.refill_to(end);
            self.reservations.retain(|r| r.until > end);
        }
        self.refill_to(now);
    }

    /// Returns the earliest end of a reservation, if it is not after `now`.
    fn next_reservation_end(&self, now: time::Instant) -> Option<time::Instant> {
        self.reservations
            .iter()
            .map(|r| r.until)
            .filter(|until| *until <= now)
            .min()
    }

    fn refill_to(&mut self, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let filled = self.level + self.rate * elapsed;
        self.level = filled
            .min(self.capacity())
            .max(self.level.min(self.capacity()));
        self.update_peaks();
    }

    fn update_peaks(&mut self) {
        for charge in self.charges.values_mut() {
            charge.peak = charge.peak.max(self.level);
        }
    }
}
