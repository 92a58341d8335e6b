//! The retry budget, which all entries share.
//!
//! The budget keeps failures from causing a surge of retries: retries stay below
//! a fraction of the requests, plus a fixed number that is divided among all
//! entries.

use crate::window::SlidingWindow;
use std::collections;
use std::time;
use world::Name;

/// The fraction of the budget that is used. The rest is a margin, since anybody
/// else counts the same retries over windows that begin at other times.
const USED_FRACTION: f64 = 0.7;

/// Requests and retries of one entry within a sliding window, by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: time::Duration,
    services: collections::BTreeMap<Name, Counts>,
}

#[derive(Clone, Debug)]
struct Counts {
    requests: SlidingWindow,
    retries: SlidingWindow,
}

impl RetryBudget {
    /// Creates a budget without recorded requests. `ratio` is the number of
    /// retries allowed per request; `slack` is the number of additional retries
    /// that all entries together may make within a window.
    pub fn new(ratio: f64, slack: f64, window: time::Duration) -> Self {
        Self {
            ratio,
            slack,
            window,
            services: collections::BTreeMap::new(),
        }
    }

    /// Replaces the ratio and the slack.
    pub fn set_limits(&mut self, ratio: f64, slack: f64) {
        self.ratio = ratio;
        self.slack = slack;
    }

    /// Records a request for a service.
    pub fn record_request(&mut self, service: &Name, now: time::Instant) {
        self.counts(service).requests.add(1.0, now);
    }

    /// Takes one retry from a service's budget, and returns whether the budget
    /// allowed it. This entry is one of `entries` that share the slack.
    pub fn try_take(&mut self, service: &Name, entries: usize, now: time::Instant) -> bool {
        let (ratio, slack) = (self.ratio, self.slack / entries.max(1) as f64);
        let counts = self.counts(service);
        let allowed = (ratio * counts.requests.sum(now) + slack) * USED_FRACTION;
        if counts.retries.sum(now) + 1.0 > allowed {
            return false;
        }
        counts.retries.add(1.0, now);
        true
    }

    fn counts(&mut self, service: &Name) -> &mut Counts {
        self.services
            .entry(service.clone())
            .or_insert_with(|| Counts {
                requests: SlidingWindow::new(self.window),
                retries: SlidingWindow::new(self.window),
            })
    }
}
