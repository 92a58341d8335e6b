//! All slices that one entry holds.

use crate::bucket::ChargeId;
use crate::bucket::TokenBucket;
use std::collections;
use std::time;
use world::Name;
use world::Organisation;

/// Whether a request is within its organisation's allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It was charged.
    Admitted,
    /// This entry's slice lacks so many tokens; peers may lend them.
    Insufficient(f64),
    /// It needs more than the organisation's whole burst.
    TooLarge,
}

/// This entry's slices of all organisations' allowances.
#[derive(Clone, Debug)]
pub struct Escrow {
    slices: collections::BTreeMap<Name, Slice>,
}

#[derive(Clone, Debug)]
struct Slice {
    organisation: Organisation,
    bucket: TokenBucket,
}

impl Escrow {
    /// Begins without slices.
    pub fn new() -> Self {
        Self {
            slices: collections::BTreeMap::new(),
        }
    }

    /// Takes the organisations of a configuration and this entry's part.
    pub fn set_share(&mut self, organisations: &[Organisation], part: f64, now: time::Instant) {
        self.slices
            .retain(|name, _| organisations.iter().any(|o| o.name == *name));
        for organisation in organisations {
            let rate = organisation.rate as f64 * part;
            let burst = organisation.burst as f64 * part;
            let slice = self
                .slices
                .entry(organisation.name.clone())
                .or_insert_with(|| Slice {
                    organisation: organisation.clone(),
                    bucket: TokenBucket::new(rate, burst, now),
                });
            slice.organisation = organisation.clone();
            slice.bucket.resize(rate, burst, now);
        }
    }

    /// Charges a request, with `lent` tokens that peers have subtracted.
    pub fn charge(
        &mut self,
        organisation: &str,
        id: &ChargeId,
        tokens: u64,
        lent: f64,
        now: time::Instant,
    ) -> Admission {
        let Some(slice) = self.slices.get_mut(organisation) else {
            return Admission::TooLarge;
        };
        if tokens > slice.organisation.burst {
            return Admission::TooLarge;
        }
        let own = (tokens as f64 - lent).max(0.0);
        if slice.bucket.charge(id.clone(), own, now) {
            return Admission::Admitted;
        }
        Admission::Insufficient(own - slice.bucket.level(now))
    }

    /// Lends tokens to a peer.
    pub fn lend(
        &mut self,
        organisation: &str,
        id: &ChargeId,
        tokens: f64,
        now: time::Instant,
    ) -> f64 {
        match self.slices.get_mut(organisation) {
            Some(slice) => slice.bucket.lend(id.clone(), tokens, now),
            None => 0.0,
        }
    }

    /// Settles a charge or a loan to what was used.
    pub fn settle(&mut self, organisation: &str, id: &ChargeId, used: f64, now: time::Instant) {
        if let Some(slice) = self.slices.get_mut(organisation) {
            slice.bucket.settle(id, used, now);
        }
    }

    /// Expects when the whole organisation will have `missing` tokens more.
    pub fn time_until(&self, organisation: &str, missing: f64) -> time::Duration {
        let rate = self
            .slices
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
