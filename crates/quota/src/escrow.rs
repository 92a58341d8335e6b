//! An entry's shares of all organisations' allowances.

use crate::bucket::ChargeId;
use crate::bucket::TokenBucket;
use std::collections;
use std::time;
use world::Name;
use world::Organisation;

/// The decision whether a request is within its organisation's allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The request was charged.
    Admitted,
    /// This entry's share lacks this number of tokens; peers may lend them.
    Insufficient(f64),
    /// The request needs more tokens than the organisation's whole burst.
    TooLarge,
}

/// This entry's shares of all organisations' allowances, by organisation.
///
/// Each share is held by this entry alone, so that it can be spent without asking
/// other entries.
#[derive(Clone, Debug)]
pub struct Escrow {
    shares: collections::BTreeMap<Name, Share>,
}

/// This entry's share of one organisation's allowance.
#[derive(Clone, Debug)]
struct Share {
    /// The organisation with its whole allowance.
    organisation: Organisation,
    bucket: TokenBucket,
}

impl Escrow {
    /// Starts without any share.
    pub fn new() -> Self {
        Self {
            shares: collections::BTreeMap::new(),
        }
    }

    /// Sets the organisations and the fraction of their allowances, from 0 to 1,
    /// that this entry may spend. Organisations that are not listed are dropped.
    pub fn set_share(&mut self, organisations: &[Organisation], fraction: f64, now: time::Instant) {
        self.shares
            .retain(|name, _| organisations.iter().any(|o| o.name == *name));
        for organisation in organisations {
            let rate = organisation.rate as f64 * fraction;
            let burst = organisation.burst as f64 * fraction;
            let share = self
                .shares
                .entry(organisation.name.clone())
                .or_insert_with(|| Share {
                    organisation: organisation.clone(),
                    bucket: TokenBucket::new(rate, burst, now),
                });
            share.organisation = organisation.clone();
            share.bucket.resize(rate, burst, now);
        }
    }

    /// Charges a request of `tokens`, of which peers have lent `lent`. An unknown
    /// organisation has no allowance, so its requests are [`Admission::TooLarge`].
    pub fn charge(
        &mut self,
        organisation: &str,
        id: &ChargeId,
        tokens: u64,
        lent: f64,
        now: time::Instant,
    ) -> Admission {
        let Some(share) = self.shares.get_mut(organisation) else {
            return Admission::TooLarge;
        };
        if tokens > share.organisation.burst {
            return Admission::TooLarge;
        }
        let own = (tokens as f64 - lent).max(0.0);
        if share.bucket.charge(id.clone(), own, now) {
            return Admission::Admitted;
        }
        Admission::Insufficient(own - share.bucket.level(now))
    }

    /// Lends up to `tokens` to a peer, and returns how many were lent.
    pub fn lend(
        &mut self,
        organisation: &str,
        id: &ChargeId,
        tokens: f64,
        now: time::Instant,
    ) -> f64 {
        match self.shares.get_mut(organisation) {
            Some(share) => share.bucket.lend(id.clone(), tokens, now),
            None => 0.0,
        }
    }

    /// Settles a charge or a loan: refunds its tokens beyond the `used` ones.
    pub fn settle(&mut self, organisation: &str, id: &ChargeId, used: f64, now: time::Instant) {
        if let Some(share) = self.shares.get_mut(organisation) {
            share.bucket.settle(id, used, now);
        }
    }

    /// Estimates the time in which an organisation's rate over the whole fleet
    /// supplies `missing` tokens, at most one day.
    pub fn estimate_refill_time(&self, organisation: &str, missing: f64) -> time::Duration {
        let rate = self
            .shares
            .get(organisation)
            .map_or(1.0, |s| s.organisation.rate as f64);
        time::Duration::from_secs_f64((missing / rate.max(1.0)).clamp(0.0, 86_400.0))
    }
}

impl Default for Escrow {
    fn default() -> Self {
        Self::new()
    }
}
