//! One slice of one allowance; docs/DESIGN.md, "Allowances", shows why refunds and loans keep the bound.

use std::collections;
use std::time;

/// Names a charge, so that it can be settled once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChargeId(pub String);

/// A token bucket whose charges are settled later to what was really used.
///
/// A refund never gives more than the bucket would hold had the smaller amount
/// been charged at first. Each open charge therefore remembers the highest
/// level since it was made: whatever would have overflowed by then is lost.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: time::Instant,
    open: collections::BTreeMap<ChargeId, Open>,
    holds: Vec<Hold>,
}

/// A loan that nobody has settled for so long is forgotten without a refund.
const LOAN_MEMORY: time::Duration = time::Duration::from_secs(3_600);

/// A charge that is not settled yet.
#[derive(Clone, Copy, Debug)]
struct Open {
    tokens: f64,
    peak: f64,
    since: time::Instant,
}

/// Capacity that a loan has taken along.
#[derive(Clone, Copy, Debug)]
struct Hold {
    tokens: f64,
    until: time::Instant,
}

impl TokenBucket {
    /// Begins empty: what another incarnation had left is never given twice.
    pub fn new(rate: f64, burst: f64, now: time::Instant) -> Self {
        Self {
            rate,
            burst,
            level: 0.0,
            at: now,
            open: collections::BTreeMap::new(),
            holds: Vec::new(),
        }
    }

    /// Changes the slice. Tokens above a lower burst are lost at once.
    pub fn resize(&mut self, rate: f64, burst: f64, now: time::Instant) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(self.capacity());
    }

    /// Tokens that can be charged at `now`.
    pub fn level(&mut self, now: time::Instant) -> f64 {
        self.refill(now);
        self.level
    }

    /// Charges all of `tokens` or nothing.
    pub fn charge(&mut self, id: ChargeId, tokens: f64, now: time::Instant) -> bool {
        self.refill(now);
        if tokens > self.level {
            return false;
        }
        self.take(id, tokens);
        true
    }

    /// Charges what there is, up to `tokens`, on a borrower's behalf; the
    /// capacity stays lowered for as long as the borrower may yet use it.
    pub fn lend(&mut self, id: ChargeId, tokens: f64, now: time::Instant) -> f64 {
        self.refill(now);
        self.open
            .retain(|_, o| now.saturating_duration_since(o.since) < LOAN_MEMORY);
        let lent = tokens.min(self.level).max(0.0).floor();
        if lent <= 0.0 || self.open.contains_key(&id) {
            return 0.0;
        }
        self.take(id, lent);
        self.holds.push(Hold {
            tokens: lent,
            until: now + crate::LOAN_LIFETIME,
        });
        lent
    }

    /// Settles a charge to what was used; a second settlement does nothing.
    pub fn settle(&mut self, id: &ChargeId, used: f64, now: time::Instant) {
        self.refill(now);
        let Some(open) = self.open.remove(id) else {
            return;
        };
        let unused = (open.tokens - used).max(0.0);
        let refund = unused.min(self.burst - open.peak).max(0.0);
        let refund = refund.min(self.capacity() - self.level).max(0.0);
        self.level += refund;
        // Seen from the other open charges, the level was higher all along.
        for other in self.open.values_mut() {
            other.peak = (other.peak + refund).min(self.burst);
        }
        self.note_peaks();
    }

    fn take(&mut self, id: ChargeId, tokens: f64) {
        self.level -= tokens;
        let peak = self.level;
        let since = self.at;
        self.open.insert(
            id,
            Open {
                tokens,
                peak,
                since,
            },
        );
    }

    fn capacity(&self) -> f64 {
        let held: f64 = self.holds.iter().map(|h| h.tokens).sum();
        (self.burst - held).max(0.0)
    }

    /// Fills up to `now`, in steps between the ends of holds.
    fn refill(&mut self, now: time::Instant) {
        while let Some(end) = self.next_release(now) {
            self.refill_to(end);
            self.holds.retain(|h| h.until > end);
        }
        self.refill_to(now);
    }

    fn next_release(&self, now: time::Instant) -> Option<time::Instant> {
        self.holds
            .iter()
            .map(|h| h.until)
            .filter(|until| *until <= now)
            .min()
    }

    fn refill_to(&mut self, now: time::Instant) {
        let gone = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let filled = self.level + self.rate * gone;
        self.level = filled
            .min(self.capacity())
            .max(self.level.min(self.capacity()));
        self.note_peaks();
    }

    fn note_peaks(&mut self) {
        for open in self.open.values_mut() {
            open.peak = open.peak.max(self.level);
        }
    }
}
