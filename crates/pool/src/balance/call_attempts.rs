//! Decides when a call to a plain service is sent to another host.
//!
//! A sound host may fall silent for some seconds and go on, so an attempt is not given up
//! because it takes long. Where the call may be repeated, another attempt is made beside
//! it, and the first success counts.

use std::time;
use world::Name;

/// Time after which an attempt is late, in multiples of the route's latency target.
const LATE_FACTOR: u32 = 2;
/// A host's failure is passed on to the caller once this many hosts were tried.
const MAX_FAILURE_HOSTS: usize = 3;

/// How an attempt ended without a success.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The host could not be reached, or wants no calls.
    Unsent,
    /// The host refused the call and has not executed it.
    Refused,
    /// The host failed the call, or may have executed it.
    MayHaveRun,
}

/// The attempts of one call.
#[derive(Clone, Debug)]
pub struct CallAttempts {
    /// Number of hosts that may execute the call.
    max_runs: usize,
    /// Time after which an attempt is late.
    patience: time::Duration,
    tried: Vec<Name>,
    pending: Vec<PendingAttempt>,
    /// Attempts that reached a host, as far as is known.
    sent: usize,
    /// Attempts that have ended and may have executed the call.
    runs: usize,
}

#[derive(Clone, Debug)]
struct PendingAttempt {
    host: Name,
    late_at: time::Instant,
}

impl CallAttempts {
    /// Starts without attempts, for a call on a route with these properties.
    pub fn new(retry: seam::RetryMode, max_attempts: u32, latency_target: time::Duration) -> Self {
        let max_runs = match retry.is_repeatable() {
            true => max_attempts as usize,
            false => 1,
        };
        Self {
            max_runs,
            patience: latency_target * LATE_FACTOR,
            tried: Vec::new(),
            pending: Vec::new(),
            sent: 0,
            runs: 0,
        }
    }

    /// Returns the hosts that were tried.
    pub fn tried(&self) -> &[Name] {
        &self.tried
    }

    /// Forgets the hosts that were tried, none of which may have executed the call, so that it
    /// may wait for one of them.
    pub fn forget_refused(&mut self) {
        if !self.may_have_run() {
            self.tried.clear();
        }
    }

    /// Returns whether the next attempt repeats one that reached a host.
    pub fn is_retry(&self) -> bool {
        self.sent > 0
    }

    /// Returns whether a host may have executed the call, or may still execute it.
    pub fn may_have_run(&self) -> bool {
        self.runs + self.pending.len() > 0
    }

    /// Returns whether a host's failure is worth another attempt.
    pub fn repeats_failure(&self) -> bool {
        self.tried.len() < MAX_FAILURE_HOSTS
    }

    /// Returns when the next attempt is due: at once if none is pending, and beside one
    /// that is late. Returns `None` if there may be no more.
    pub fn due_at(&self, now: time::Instant) -> Option<time::Instant> {
        if self.may_have_run() && self.runs + self.pending.len() >= self.max_runs {
            return None;
        }
        match self.pending.as_slice() {
            [] => Some(now),
            [only] => Some(only.late_at),
            _ => None,
        }
    }

    /// Records that an attempt begins.
    pub fn start(&mut self, host: &Name, now: time::Instant) {
        self.tried.push(host.clone());
        self.sent += 1;
        self.pending.push(PendingAttempt {
            host: host.clone(),
            late_at: now + self.patience,
        });
    }

    /// Records that an attempt has ended without a success.
    pub fn end(&mut self, host: &str, end: AttemptEnd) {
        self.pending.retain(|p| &*p.host != host);
        match end {
            AttemptEnd::Unsent => self.sent -= 1,
            AttemptEnd::Refused => {}
            AttemptEnd::MayHaveRun => self.runs += 1,
        }
    }
}
