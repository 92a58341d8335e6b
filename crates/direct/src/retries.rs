//! Counts what is sent for a stream, and takes its retries from the budget of its service.

use crate::entry::Entry;
use crate::meters;
use crate::stream::StreamRunner;
use seam::Upstreams;
use std::rc;
use std::time;
use world::Name;

/// A retry of a service's budget that is kept back for a request; dropping it gives it
/// back.
pub(crate) struct SpareRetry<P: seam::Platform> {
    entry: rc::Rc<Entry<P>>,
    /// None once it is taken.
    service: Option<Name>,
}

impl<P: seam::Platform> SpareRetry<P> {
    /// Keeps a retry back; none if the budget has none left.
    pub(crate) fn reserve(entry: &rc::Rc<Entry<P>>, service: &Name) -> Option<Self> {
        let (entries, now) = (entry.entry_count(), time::Instant::now());
        let mut retry_budget = entry.retry_budget.borrow_mut();
        retry_budget
            .try_reserve(service, entries, now)
            .then(|| Self {
                entry: entry.clone(),
                service: Some(service.clone()),
            })
    }

    /// Takes the retry.
    pub(crate) fn take(mut self) {
        if let Some(service) = self.service.take() {
            let mut retry_budget = self.entry.retry_budget.borrow_mut();
            retry_budget.take_reserved(&service, time::Instant::now());
            meters::count_retry(&service);
        }
    }
}

impl<P: seam::Platform> Drop for SpareRetry<P> {
    fn drop(&mut self) {
        if let Some(service) = self.service.take() {
            self.entry.retry_budget.borrow_mut().release(&service);
        }
    }
}

impl<P: seam::Platform> StreamRunner<P> {
    /// Takes a retry from the service's budget if the next send needs one, or else the one
    /// that was kept back; returns false if there is none.
    pub(crate) fn take_needed_retry(&mut self) -> bool {
        if !self.arrivals.needs_retry() {
            return true;
        }
        let granted = self.take_retry() || self.take_spare();
        if granted {
            self.arrivals.record_retry();
        }
        granted
    }

    /// Takes a retry from the service's budget if the next prefill needs one; returns false
    /// if none would be left for the send, without which a prefill is of no use.
    pub(crate) fn take_prompt_retry(&mut self) -> bool {
        if !self.arrivals.needs_retry() {
            return true;
        }
        let has_spare = self.spare.is_some() && !self.silent_kept.get();
        let reserved = match has_spare {
            true => None,
            false => SpareRetry::reserve(&self.entry, &self.job.service),
        };
        let granted = (has_spare || reserved.is_some()) && self.take_retry();
        if granted {
            self.arrivals.record_retry();
        }
        granted
    }

    /// Returns the engines to which alone the request may be sent, as its route's attempts are
    /// used up; none if it may be sent to any. Those at which it may run are asked whether they
    /// are still there.
    pub(crate) async fn remaining_engines(&mut self) -> Option<Vec<Name>> {
        if self.runs.allows_another() {
            return None;
        }
        for engine in self.runs.hosts().to_vec() {
            let state = match self.entry.target(&engine) {
                Some(target) => self.entry.upstreams.check_host(&target).await,
                None => seam::HostState::Ended,
            };
            if state != seam::HostState::Responding {
                self.runs.record_unrun(&engine);
            }
        }
        if self.runs.allows_another() {
            return None;
        }
        let engines = self.runs.hosts().to_vec();
        let line = self.job.log_line("attempts_used");
        let line = line.with("attempts", self.job.route.max_attempts);
        line.with("engines", engines.join(",")).info();
        Some(engines)
    }

    /// Returns whether there is a retry, and another engine that may take it.
    pub(crate) fn can_retry(&self) -> bool {
        let has_retry =
            self.spare.is_some() || SpareRetry::reserve(&self.entry, &self.job.service).is_some();
        let has_attempt = self.runs.allows_another();
        has_retry && has_attempt && self.pool.decode_pool.borrow().engine_count() > 1
    }

    fn take_retry(&self) -> bool {
        let now = time::Instant::now();
        let entries = self.entry.entry_count();
        let mut retry_budget = self.entry.retry_budget.borrow_mut();
        let granted = retry_budget.try_take(&self.job.service, entries, now);
        if granted {
            meters::count_retry(&self.job.service);
        }
        granted
    }

    /// Takes the retry that was kept back, which is meant for the time after the silent
    /// engine was given up.
    fn take_spare(&mut self) -> bool {
        let spare = match self.silent_kept.get() {
            true => None,
            false => self.spare.take(),
        };
        spare.map(SpareRetry::take).is_some()
    }

    /// Records that an engine is sent the request or its prompt, and returns whether it
    /// was before.
    pub(crate) fn record_sending(&mut self, target: &seam::Target) -> bool {
        let is_repeat = self.sent_to.contains(&target.id);
        if !is_repeat {
            self.sent_to.push(target.id.clone());
        }
        is_repeat
    }
}
