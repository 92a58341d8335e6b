//! Calls to plain services, which have no engines.

use crate::admit;
use crate::admit::Job;
use crate::body::Body;
use crate::entry::Entry;
use crate::exchange::Exchange;
use crate::forward;
use crate::meters;
use crate::metric;
use crate::plain_call::PlainCall;
use crate::telemetry;
use http::StatusCode;
use std::cell;
use std::collections;
use std::rc;
use std::time;
use world::Name;

/// Delay after which a caller should retry if no host can take its call.
const NO_HOST_RETRY_DELAY: time::Duration = time::Duration::from_millis(150);

/// The hosts of all plain services.
#[derive(Debug, Default)]
pub(crate) struct PlainServices {
    services: cell::RefCell<collections::BTreeMap<Name, rc::Rc<PlainService>>>,
    notices: pool::SharedNotices,
}

/// The hosts of one plain service.
#[derive(Debug)]
pub(crate) struct PlainService {
    pub(crate) balancer: cell::RefCell<pool::HostBalancer>,
    /// Calls that wait while all hosts are full; none are kept where callers don't compete for
    /// hosts.
    pub(crate) queue: cell::RefCell<Option<pool::CallQueue>>,
}

impl PlainService {
    /// Picks a host that has room, where calls wait for one.
    pub(crate) fn pick_open(&self, zone: &str, tried: &[Name], now: time::Instant) -> Option<Name> {
        let has_queue = self.queue.borrow().is_some();
        let balancer = self.balancer.borrow();
        has_queue.then(|| balancer.pick_open(zone, tried, now))?
    }
}

impl PlainServices {
    pub(crate) fn new(notices: pool::SharedNotices) -> Self {
        Self {
            notices,
            ..Self::default()
        }
    }

    /// Updates a service with its current hosts.
    pub(crate) fn update<'a>(
        &self,
        name: &Name,
        hosts: impl Iterator<Item = &'a seam::Member>,
        has_queue: bool,
    ) {
        let mut services = self.services.borrow_mut();
        let service = services.entry(name.clone()).or_insert_with(|| {
            let balancer = pool::HostBalancer::new(self.notices.clone());
            rc::Rc::new(PlainService {
                balancer: cell::RefCell::new(balancer),
                queue: cell::RefCell::default(),
            })
        });
        let mut queue = service.queue.borrow_mut();
        if queue.is_some() != has_queue {
            *queue = has_queue.then(pool::CallQueue::new);
        }
        drop(queue);
        service.balancer.borrow_mut().set_hosts(hosts);
    }

    pub(crate) fn get(&self, service: &str) -> Option<rc::Rc<PlainService>> {
        self.services.borrow().get(service).cloned()
    }

    /// Updates the metrics of waiting calls.
    pub(crate) fn report_waiting(&self) {
        for (name, service) in self.all() {
            let waiting = service
                .queue
                .borrow()
                .as_ref()
                .map_or(0, pool::CallQueue::len);
            let gauge = metric::CALLS_WAITING.gauge(&[("service", &*name)]);
            gauge.set(waiting as f64);
        }
    }

    /// Returns all services with their names.
    pub(crate) fn all(&self) -> Vec<(Name, rc::Rc<PlainService>)> {
        let services = self.services.borrow();
        services
            .iter()
            .map(|(n, p)| (n.clone(), p.clone()))
            .collect()
    }
}

/// Serves a call to a plain service, and retries it at other hosts where the route
/// and the retry budget allow it.
pub(crate) async fn serve<P: seam::Platform>(
    entry: rc::Rc<Entry<P>>,
    job: Job,
    exchange: rc::Rc<Exchange<P>>,
) -> hyper::Response<Body> {
    let Some(service) = entry.plain_services.get(&job.service) else {
        let reply = job.reply(StatusCode::SERVICE_UNAVAILABLE, None, "no_service");
        return refusal_response(&entry, &job, &reply);
    };
    let call = PlainCall {
        entry: &entry,
        service: &service,
        job: &job,
    };
    match call.run().await {
        Ok(answer) => {
            let took = job.arrived_at.elapsed();
            meters::meters().plain_answer.record(took.as_secs_f64());
            match answer.response.status.is_server_error() {
                true => job.meter.fail(),
                false if took <= job.route.latency_target => job.meter.answer("on_time"),
                false => job.meter.answer("late"),
            }
            forward::forward_response(answer, exchange, job)
        }
        Err(reply) => refusal_response(&entry, &job, &reply),
    }
}

/// Returns whether a status tells the caller that the request was not executed.
pub(crate) fn implies_not_executed(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Builds the reply to a call for which no host or no retry is left.
pub(crate) fn no_host_reply(service: &PlainService, job: &Job, may_have_run: bool) -> seam::Reply {
    let now = time::Instant::now();
    let retry_at = service.balancer.borrow().retry_at(now);
    let status = StatusCode::SERVICE_UNAVAILABLE;
    match (may_have_run, retry_at) {
        (true, _) => job.reply(StatusCode::BAD_GATEWAY, None, "outcome_unknown"),
        (false, Some(at)) => job.paused_reply(at, now),
        (false, None) => job.reply(status, Some(NO_HOST_RETRY_DELAY), "no_host"),
    }
}

/// Builds the reply to a call whose time is over, or whose last attempt got no usable
/// response.
pub(crate) fn timeout_reply(job: &Job, may_have_run: bool) -> seam::Reply {
    let status = match may_have_run {
        true => StatusCode::GATEWAY_TIMEOUT,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    job.reply(status, None, "timeout")
}

/// Logs and counts a refusal, and builds its response.
pub(crate) fn refusal_response<P: seam::Platform>(
    entry: &Entry<P>,
    job: &Job,
    reply: &seam::Reply,
) -> hyper::Response<Body> {
    job.log_line("refused")
        .with("status", reply.status.as_u16())
        .with("reason", reply.reason)
        .with("again_ms", reply.retry_after.map_or(0, telemetry::millis))
        .with("list", entry.host_list.borrow().revision())
        .info();
    meters::meters().refusals.add(reply.reason, 1);
    job.meter.refuse(reply.reason);
    if implies_not_executed(reply.status) {
        job.refund(&entry.rate_limiter);
    }
    admit::reply_response::<P>(reply)
}
