//! Calls to plain services, which have no engines.

use crate::admit;
use crate::admit::Job;
use crate::body::Body;
use crate::body::Chunk;
use crate::caller::Exchange;
use crate::entry::Entry;
use crate::telemetry;
use http::StatusCode;
use seam::ByteStream;
use seam::Upstreams;
use std::cell;
use std::collections;
use std::rc;
use std::time;
use world::Name;

/// Bodies up to this size, and those without an announced length, are read
/// completely before the response head is sent, so that the call can still be
/// retried or get an error response if the body is cut off.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Longest response body that is read before it is passed on; a host in
/// trouble may send bytes without end.
const MAX_UNSIZED_BYTES: usize = 8 * 1024 * 1024;
/// Delay after which a caller should retry if no host can take its call.
const NO_HOST_RETRY_DELAY: time::Duration = time::Duration::from_millis(150);
/// Time between two looks whether a host takes calls again.
const PROBE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// How long an attempt may take if another one is allowed, in multiples of the
/// route's latency target.
const ATTEMPT_TIME_FACTOR: u32 = 2;

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
}

/// A call in progress; the host's load includes it until it is dropped.
struct CallGuard {
    service: rc::Rc<PlainService>,
    host: Name,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.service.balancer.borrow_mut().end_call(&self.host);
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
    pub(crate) fn update<'a>(&self, name: &Name, hosts: impl Iterator<Item = &'a seam::Member>) {
        let mut services = self.services.borrow_mut();
        let service = services.entry(name.clone()).or_insert_with(|| {
            let balancer = pool::HostBalancer::new(self.notices.clone());
            rc::Rc::new(PlainService {
                balancer: cell::RefCell::new(balancer),
            })
        });
        service.balancer.borrow_mut().set_hosts(hosts);
    }

    pub(crate) fn get(&self, service: &str) -> Option<rc::Rc<PlainService>> {
        self.services.borrow().get(service).cloned()
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

/// Result of one attempt.
enum AttemptOutcome<S> {
    /// The host's response, with its body if that was buffered.
    Response(seam::Response<S>, Option<bytes::Bytes>),
    /// The host stated that it has not executed the call, or it could not be
    /// reached.
    NotExecuted(&'static str),
    /// The call may have been executed.
    Unknown(&'static str),
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
    let repeatable = job.route.retry.is_repeatable();
    let mut tried: Vec<Name> = Vec::new();
    let mut may_have_run = false;
    let mut send_count = 0;
    loop {
        if job.time_left().is_zero() {
            return timeout_response(&entry, &job, may_have_run);
        }
        let now = time::Instant::now();
        let picked = service
            .balancer
            .borrow()
            .pick(&entry.settings.zone, &tried, now);
        let target = picked.and_then(|id| entry.target(&id));
        let Some(target) = target else {
            if service.balancer.borrow().is_probing(&tried, now) {
                tokio::time::sleep(PROBE_POLL_INTERVAL).await;
                continue;
            }
            return no_host_response(&entry, &service, &job, may_have_run);
        };
        if send_count > 0 {
            let entries = entry.entry_count();
            let granted = entry
                .retry_budget
                .borrow_mut()
                .try_take(&job.service, entries, now);
            if !granted {
                return no_host_response(&entry, &service, &job, may_have_run);
            }
        }
        tried.push(target.id.clone());
        let is_last = !repeatable || send_count + 1 >= job.route.max_attempts;
        let outcome = attempt(&entry, &service, &job, &target, is_last).await;
        let label = match &outcome {
            AttemptOutcome::Response(upstream, _) => upstream.status.as_u16().to_string(),
            AttemptOutcome::NotExecuted(reason) | AttemptOutcome::Unknown(reason) => {
                (*reason).to_owned()
            }
        };
        job.log_line("call")
            .with("upstream", &target.id)
            .with("outcome", &label)
            .with("try", tried.len())
            .info();
        match outcome {
            AttemptOutcome::Response(upstream, body) => {
                let failed = upstream.status.is_server_error();
                if failed && !is_last && tried.len() < 3 {
                    send_count += 1;
                    may_have_run = true;
                    if can_retry(&entry, &service, &job, &tried) {
                        continue;
                    }
                }
                metrics::histogram!("answer_seconds", "kind" => "plain")
                    .record(job.arrived_at.elapsed().as_secs_f64());
                return forward_response(upstream, body, exchange, job);
            }
            AttemptOutcome::NotExecuted("unconnected" | "withheld") => {}
            AttemptOutcome::NotExecuted(_) => send_count += 1,
            AttemptOutcome::Unknown(_) => {
                send_count += 1;
                may_have_run = true;
                if is_last || entry.is_condemned(&job) {
                    return timeout_response(&entry, &job, true);
                }
            }
        }
    }
}

/// Returns whether another host is left and there is enough time for a retry.
fn can_retry<P: seam::Platform>(
    entry: &Entry<P>,
    service: &PlainService,
    job: &Job,
    tried: &[Name],
) -> bool {
    let now = time::Instant::now();
    let other = service
        .balancer
        .borrow()
        .pick(&entry.settings.zone, tried, now);
    other.is_some() && job.time_left() > job.route.latency_target / 4
}

/// Sends the call to one host, and reads the response if it is buffered.
async fn attempt<P: seam::Platform>(
    entry: &rc::Rc<Entry<P>>,
    service: &rc::Rc<PlainService>,
    job: &Job,
    target: &seam::Target,
    is_last: bool,
) -> AttemptOutcome<<P::Upstreams as Upstreams>::Body> {
    let is_suspect = !entry
        .quarantine
        .borrow()
        .suspected(&job.elements)
        .is_empty();
    service.balancer.borrow_mut().start_call(&target.id);
    let _guard = CallGuard {
        service: service.clone(),
        host: target.id.clone(),
    };
    let deadline = match is_last {
        true => job.deadline,
        false => {
            let timeout = job.route.latency_target * ATTEMPT_TIME_FACTOR;
            job.deadline.min(time::Instant::now() + timeout)
        }
    };
    let options = seam::SendOptions {
        tenant: job.tenant.clone(),
        timeout: Some(job.time_left()),
        ..seam::SendOptions::default()
    };
    let result = entry
        .upstreams
        .send(target, &job.request, &options, deadline)
        .await;
    let now = time::Instant::now();
    let mut upstream = match result {
        Ok(upstream) => upstream,
        Err(error) if error.cause == seam::FailureCause::Withheld => {
            return AttemptOutcome::NotExecuted("withheld");
        }
        Err(error) => {
            service
                .balancer
                .borrow_mut()
                .record_failure(&target.id, now);
            if error.cause == seam::FailureCause::ConnectionLost {
                // Whether the host had begun the call is not known: it answers at once.
                entry.check_for_crash(job, target, pool::Progress::Begun, is_suspect);
            }
            return match (error.may_have_run, error.cause) {
                (false, _) => AttemptOutcome::NotExecuted("unconnected"),
                (true, seam::FailureCause::TimedOut) => AttemptOutcome::Unknown("late"),
                (true, seam::FailureCause::WrongRequest) => AttemptOutcome::Unknown("crossed"),
                (true, _) => AttemptOutcome::Unknown("broken"),
            };
        }
    };
    if upstream.not_executed {
        service
            .balancer
            .borrow_mut()
            .record_refusal(&target.id, now);
        return AttemptOutcome::NotExecuted("refused");
    }
    let failed = upstream.status.is_server_error();
    service
        .balancer
        .borrow_mut()
        .record_response(&target.id, failed);
    if implies_not_executed(upstream.status) {
        // Such a status would tell the caller that the call was not executed,
        // but the host did not state that.
        return AttemptOutcome::Unknown("status_ambiguous");
    }
    let is_buffered = upstream
        .body
        .content_length()
        .is_none_or(|l| l <= MAX_BUFFERED_BYTES as u64);
    if !is_buffered {
        return AttemptOutcome::Response(upstream, None);
    }
    match collect_body(job, &target.id, &mut upstream.body, deadline).await {
        Some(bytes) => {
            if !failed {
                entry.record_answer(&job.elements);
            }
            AttemptOutcome::Response(upstream, Some(bytes))
        }
        None => {
            service
                .balancer
                .borrow_mut()
                .record_failure(&target.id, now);
            AttemptOutcome::Unknown("body_incomplete")
        }
    }
}

/// Reads a body to its end; returns `None` if that does not come by `deadline`, the
/// connection breaks or the body is too long, which is logged.
pub(crate) async fn collect_body<S: ByteStream>(
    job: &Job,
    host: &str,
    body: &mut S,
    deadline: time::Instant,
) -> Option<bytes::Bytes> {
    let next_chunk = async || body.next_chunk().await;
    let collected = web::collect_chunks(next_chunk, MAX_UNSIZED_BYTES, deadline).await;
    if let Err(web::ReadError::Oversized(bytes)) = collected {
        job.log_line("body_oversized")
            .with("upstream", host)
            .with("bytes", bytes)
            .with("bound", MAX_UNSIZED_BYTES)
            .warn();
    }
    collected.ok()
}

/// Returns whether a status tells the caller that the request was not executed.
pub(crate) fn implies_not_executed(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Builds the response to the caller from the host's response.
fn forward_response<P: seam::Platform, S: ByteStream + 'static>(
    upstream: seam::Response<S>,
    body: Option<bytes::Bytes>,
    exchange: rc::Rc<Exchange<P>>,
    job: Job,
) -> hyper::Response<Body> {
    let body = match body {
        Some(bytes) => Body::from(bytes),
        None => {
            let (sender, body) = Body::channel(upstream.body.content_length());
            let mut stream = upstream.body;
            tokio::task::spawn_local(async move {
                let _guard = exchange;
                loop {
                    let next = tokio::time::timeout_at(job.deadline.into(), stream.next_chunk());
                    let chunk = match next.await {
                        Ok(Some(Ok(bytes))) => Chunk::Data(bytes),
                        Ok(None) => Chunk::End,
                        // Dropping the sender before the end aborts the
                        // response.
                        Ok(Some(Err(_))) | Err(_) => return,
                    };
                    let ended = matches!(chunk, Chunk::End);
                    if sender.send(chunk).await.is_err() || ended {
                        return;
                    }
                }
            });
            body
        }
    };
    let mut response = hyper::Response::new(body);
    *response.status_mut() = upstream.status;
    *response.headers_mut() = upstream.headers;
    response
}

/// Refuses a call for which no host or no retry is left.
fn no_host_response<P: seam::Platform>(
    entry: &Entry<P>,
    service: &PlainService,
    job: &Job,
    may_have_run: bool,
) -> hyper::Response<Body> {
    let now = time::Instant::now();
    let retry_at = service.balancer.borrow().retry_at(now);
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let reply = match (may_have_run, retry_at) {
        (true, _) => job.reply(StatusCode::BAD_GATEWAY, None, "outcome_unknown"),
        (false, Some(at)) => job.paused_reply(at, now),
        (false, None) => job.reply(status, Some(NO_HOST_RETRY_DELAY), "no_host"),
    };
    refusal_response(entry, job, &reply)
}

/// Refuses a call whose time is over, or whose last attempt got no usable response.
fn timeout_response<P: seam::Platform>(
    entry: &Entry<P>,
    job: &Job,
    may_have_run: bool,
) -> hyper::Response<Body> {
    let status = match may_have_run {
        true => StatusCode::GATEWAY_TIMEOUT,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    let reply = job.reply(status, None, "timeout");
    refusal_response(entry, job, &reply)
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
    metrics::counter!("refused", "reason" => reply.reason).increment(1);
    if implies_not_executed(reply.status) {
        job.refund(&entry.rate_limiter);
    }
    admit::reply_response::<P>(reply)
}
