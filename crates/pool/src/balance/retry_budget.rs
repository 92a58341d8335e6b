//! The retry budget, which all entries share.
//!
//! The budget keeps failures from causing a surge of retries: retries stay below
//! a fraction of the requests, plus a fixed number that is divided among all
//! entries.

use crate::limits::window::SlidingWindow;
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
    /// Retries that are kept back for requests under way.
    reserved: f64,
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
        let is_left = self.is_left(service, entries, now);
        if is_left {
            self.counts(service).retries.add(1.0, now);
        }
        is_left
    }

    /// Keeps one retry of a service's budget back, and returns whether the budget
    /// allowed it.
    pub fn try_reserve(&mut self, service: &Name, entries: usize, now: time::Instant) -> bool {
        let is_left = self.is_left(service, entries, now);
        if is_left {
            self.counts(service).reserved += 1.0;
        }
        is_left
    }

    /// Takes a retry that was kept back.
    pub fn take_reserved(&mut self, service: &Name, now: time::Instant) {
        self.release(service);
        self.counts(service).retries.add(1.0, now);
    }

    /// Gives a retry back that was kept back and is not needed.
    pub fn release(&mut self, service: &Name) {
        self.counts(service).reserved -= 1.0;
    }

    /// Returns whether one more retry is allowed.
    fn is_left(&mut self, service: &Name, entries: usize, now: time::Instant) -> bool {
        let (ratio, slack) = (self.ratio, self.slack / entries.max(1) as f64);
        let counts = self.counts(service);
        let allowed = (ratio * counts.requests.sum(now) + slack) * USED_FRACTION;
        counts.retries.sum(now) + counts.reserved + 1.0 <= allowed
    }

    fn counts(&mut self, service: &Name) -> &mut Counts {
        self.services
            .entry(service.clone())
            .or_insert_with(|| Counts {
                requests: SlidingWindow::new(self.window),
                retries: SlidingWindow::new(self.window),
                reserved: 0.0,
            })
    }
}
