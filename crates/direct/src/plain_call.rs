//! The attempts of a call to a plain service.
//!
//! An attempt that takes long stays pending while another is made beside it, since its host
//! may still answer. The first success is the answer; the other attempt is then dropped.

use crate::admit;
use crate::admit::Job;
use crate::call_place::QueuePlace;
use crate::call_place::Turn;
use crate::entry::Entry;
use crate::forward::Answer;
use crate::meters;
use crate::plain_attempt;
use crate::plain_attempt::AttemptOutcome;
use crate::plain_service;
use crate::plain_service::PlainService;
use crate::stopping;
use http::StatusCode;
use seam::Upstreams;
use std::future;
use std::future::Future;
use std::pin;
use std::rc;
use std::task;
use std::time;
use world::Name;

/// Time between two looks whether a host takes calls again.
const PROBE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Shortest time after which a caller comes back whose call would have waited too long.
const MIN_FULL_DELAY: time::Duration = time::Duration::from_millis(300);
/// With an answer in prospect, another attempt needs this part of the route's latency
/// target.
const MIN_TIME_DIVISOR: u32 = 4;

/// An answer of one of the platform's hosts.
type HostAnswer<P> = Answer<<<P as seam::Platform>::Upstreams as Upstreams>::Body>;

/// A call to a plain service in progress.
pub(crate) struct PlainCall<'a, P: seam::Platform> {
    pub(crate) entry: &'a rc::Rc<Entry<P>>,
    pub(crate) service: &'a rc::Rc<PlainService>,
    pub(crate) job: &'a Job,
}

/// An attempt in progress; dropping it closes its connection.
struct PendingAttempt<F> {
    host: Name,
    is_late: bool,
    outcome: pin::Pin<Box<F>>,
}

/// What to do when an attempt is due.
enum NextStep {
    /// Send the call to this host.
    Send(seam::Target),
    /// Look again soon, because a host may be about to take calls.
    Wait,
    /// Make no other attempt now; the reply is for the case that none is pending.
    Stop(seam::Reply),
}

impl<P: seam::Platform> PlainCall<'_, P> {
    /// Makes attempts until a host answers with success. If none does, the answer is the
    /// last failure that a host has reported, or else a reply of the entry.
    pub(crate) async fn run(&self) -> Result<HostAnswer<P>, seam::Reply> {
        let route = &self.job.route;
        let mut attempts =
            pool::CallAttempts::new(route.retry, route.max_attempts, route.latency_target);
        let mut pending = Vec::new();
        let mut failure = None;
        let mut place = QueuePlace::new(self.service);
        let mut stopped = pin::pin!(self.entry.wait_for_last_refusal());
        loop {
            let now = time::Instant::now();
            let mut due_at = self.due_at(&attempts, failure.is_some(), now);
            if due_at.is_some_and(|at| at <= now) {
                let has_prospect = failure.is_some() || !pending.is_empty();
                match self.next_step(&mut attempts, &mut place, has_prospect, now) {
                    NextStep::Send(target) => {
                        self.record_late(&mut pending, now);
                        attempts.start(&target.id, now);
                        pending.push(PendingAttempt {
                            host: target.id.clone(),
                            is_late: false,
                            outcome: Box::pin(plain_attempt::attempt(
                                self.entry,
                                self.service,
                                self.job,
                                target,
                            )),
                        });
                        continue;
                    }
                    NextStep::Wait => due_at = Some(now + PROBE_POLL_INTERVAL),
                    NextStep::Stop(reply) if pending.is_empty() => return failure.ok_or(reply),
                    NextStep::Stop(_) => due_at = None,
                }
            }
            if due_at.is_none() && pending.is_empty() {
                return failure.ok_or_else(|| self.last_reply(attempts.may_have_run()));
            }
            let (host, outcome) = tokio::select! {
                ended = next_end(&mut pending) => ended,
                () = sleep_until(due_at) => continue,
                // An unknown outcome tells the caller more than a closed connection.
                () = &mut stopped => {
                    let may_have_run = !pending.is_empty() || attempts.may_have_run();
                    return failure.ok_or_else(|| self.stop_reply(may_have_run));
                }
            };
            self.job
                .log_line("call")
                .with("upstream", &host)
                .with("outcome", outcome.label())
                .with("try", attempts.tried().len())
                .with("pending", pending.len())
                .info();
            match outcome {
                AttemptOutcome::Response(answer) => {
                    if !answer.response.status.is_server_error() {
                        self.log_dropped(&pending);
                        return Ok(answer);
                    }
                    attempts.end(&host, pool::AttemptEnd::MayHaveRun);
                    failure = Some(answer);
                }
                AttemptOutcome::NotExecuted("unconnected" | "withheld") => {
                    attempts.end(&host, pool::AttemptEnd::Unsent);
                }
                AttemptOutcome::NotExecuted(_) => attempts.end(&host, pool::AttemptEnd::Refused),
                AttemptOutcome::Unknown(_) => attempts.end(&host, pool::AttemptEnd::MayHaveRun),
            }
        }
    }

    /// Returns when the next attempt is due, if there may be one.
    fn due_at(
        &self,
        attempts: &pool::CallAttempts,
        has_failure: bool,
        now: time::Instant,
    ) -> Option<time::Instant> {
        let is_final = has_failure && !attempts.repeats_failure();
        if is_final || attempts.may_have_run() && self.entry.is_condemned(self.job) {
            return None;
        }
        attempts.due_at(now)
    }

    /// Picks a host for an attempt that is due. `has_prospect` tells whether there is an
    /// answer without it, or may be.
    fn next_step(
        &self,
        attempts: &mut pool::CallAttempts,
        place: &mut QueuePlace<'_>,
        has_prospect: bool,
        now: time::Instant,
    ) -> NextStep {
        let (entry, job) = (self.entry, self.job);
        let may_have_run = attempts.may_have_run();
        let time_left = job.time_left();
        if time_left.is_zero() {
            return NextStep::Stop(plain_service::timeout_reply(job, may_have_run));
        }
        if !entry.may_pass_on(job) {
            return NextStep::Stop(self.stop_reply(may_have_run));
        }
        let no_host = || plain_service::no_host_reply(self.service, job, may_have_run);
        if has_prospect && time_left <= job.route.latency_target / MIN_TIME_DIVISOR {
            return NextStep::Stop(no_host());
        }
        let zone = &entry.settings.zone;
        let open = match !has_prospect && !may_have_run {
            true => match place.turn(self.job, zone, attempts, now) {
                Turn::Now(open) => open,
                Turn::Later => return NextStep::Wait,
                Turn::Never(delay) => return NextStep::Stop(self.full_reply(delay)),
            },
            false => self.service.pick_open(zone, attempts.tried(), now),
        };
        let balancer = self.service.balancer.borrow();
        let picked = open.or_else(|| balancer.pick(zone, attempts.tried(), now));
        drop(balancer);
        let Some(target) = picked.and_then(|id| entry.target(&id)) else {
            let balancer = self.service.balancer.borrow();
            return match !has_prospect && balancer.is_probing(attempts.tried(), now) {
                true => NextStep::Wait,
                false => NextStep::Stop(no_host()),
            };
        };
        let may_send = !attempts.is_retry() || {
            let entries = entry.entry_count();
            let mut retry_budget = entry.retry_budget.borrow_mut();
            let granted = retry_budget.try_take(&job.service, entries, now);
            if granted {
                meters::count_retry(&job.service);
            }
            granted
        };
        match may_send {
            true => NextStep::Send(target),
            false => NextStep::Stop(no_host()),
        }
    }

    /// Returns the reply to a call whose turn would come too late.
    fn full_reply(&self, delay: time::Duration) -> seam::Reply {
        let longest = self.job.time_left() / admit::RETURN_DIVISOR;
        let delay = delay.max(MIN_FULL_DELAY).min(longest);
        let status = StatusCode::SERVICE_UNAVAILABLE;
        self.job.reply(status, Some(delay), "no_host")
    }

    /// Returns the reply to a call whose attempts have all ended without an answer.
    fn last_reply(&self, may_have_run: bool) -> seam::Reply {
        match may_have_run && !self.job.time_left().is_zero() {
            true => plain_service::no_host_reply(self.service, self.job, true),
            false => plain_service::timeout_reply(self.job, may_have_run),
        }
    }

    /// Returns the reply to a call that no host may get any more because of a stop.
    fn stop_reply(&self, may_have_run: bool) -> seam::Reply {
        match may_have_run {
            true => plain_service::no_host_reply(self.service, self.job, true),
            false => stopping::reply(self.job),
        }
    }

    /// Backs off the hosts of pending attempts, which are late if another one is made.
    fn record_late<F>(&self, pending: &mut [PendingAttempt<F>], now: time::Instant) {
        for attempt in pending.iter_mut().filter(|a| !a.is_late) {
            attempt.is_late = true;
            self.service
                .balancer
                .borrow_mut()
                .record_failure(&attempt.host, now);
            self.job
                .log_line("call_late")
                .with("upstream", &attempt.host)
                .info();
        }
    }

    fn log_dropped<F>(&self, pending: &[PendingAttempt<F>]) {
        for attempt in pending {
            self.job
                .log_line("call_dropped")
                .with("upstream", &attempt.host)
                .info();
        }
    }
}

/// Waits until a pending attempt ends, and returns its host and its outcome.
async fn next_end<F: Future>(pending: &mut Vec<PendingAttempt<F>>) -> (Name, F::Output) {
    future::poll_fn(|context| {
        for (index, attempt) in pending.iter_mut().enumerate() {
            if let task::Poll::Ready(outcome) = attempt.outcome.as_mut().poll(context) {
                let ended = pending.remove(index);
                return task::Poll::Ready((ended.host, outcome));
            }
        }
        task::Poll::Pending
    })
    .await
}

/// Waits until a time, or for ever if there is none.
async fn sleep_until(at: Option<time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => future::pending().await,
    }
}
