//! The budget of repeats over all entries.
//!
//! Answers failures that could become a surge: repeats stay below a share of
//! the requests plus a slack that all entries divide.

use crate::window::SlidingWindow;
use std::collections;
use std::time;
use world::Name;

/// The part of the budget that is used, since windows of others are cut elsewhere.
const USED_PART: f64 = 0.7;

/// Requests and repeats of one entry, by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    span: time::Duration,
    services: collections::BTreeMap<Name, Counts>,
}

#[derive(Clone, Debug)]
struct Counts {
    requests: SlidingWindow,
    repeats: SlidingWindow,
}

impl RetryBudget {
    /// Begins with nothing counted.
    pub fn new(ratio: f64, slack: f64, span: time::Duration) -> Self {
        Self {
            ratio,
            slack,
            span,
            services: collections::BTreeMap::new(),
        }
    }

    /// Goes by another ratio and slack from now on.
    pub fn set_limits(&mut self, ratio: f64, slack: f64) {
        self.ratio = ratio;
        self.slack = slack;
    }

    /// Notes a request for a service.
    pub fn record_request(&mut self, service: &Name, now: time::Instant) {
        self.counts(service).requests.add(1.0, now);
    }

    /// Takes one repeat, where the service's budget has one for this entry,
    /// which is one of `entries`.
    pub fn try_take(&mut self, service: &Name, entries: usize, now: time::Instant) -> bool {
        let (ratio, slack) = (self.ratio, self.slack / entries.max(1) as f64);
        let counts = self.counts(service);
        let most = (ratio * counts.requests.sum(now) + slack) * USED_PART;
        if counts.repeats.sum(now) + 1.0 > most {
            return false;
        }
        counts.repeats.add(1.0, now);
        true
    }

    fn counts(&mut self, service: &Name) -> &mut Counts {
        self.services
            .entry(service.clone())
            .or_insert_with(|| Counts {
                requests: SlidingWindow::new(self.span),
                repeats: SlidingWindow::new(self.span),
            })
    }
}
