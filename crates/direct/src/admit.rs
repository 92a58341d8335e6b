//! Receives callers' requests, admits or refuses them, and hands them to their
//! service.

use crate::body::Body;
use crate::charge;
use crate::crashes;
use crate::entry::Entry;
use crate::exchange::Exchange;
use crate::meters;
use crate::plain_service;
use crate::refusal::Refusal;
use crate::request_body;
use crate::request_body::BodyError;
use crate::request_body::ROOM_RETRY_DELAY;
use crate::request_body::UploadLimits;
use crate::request_meter::RequestKind;
use crate::request_meter::RequestMeter;
use crate::stopping;
use crate::stream;
use crate::telemetry;
use callers::HeldBytes;
use http::StatusCode;
use hyper::body::Body as _;
use hyper::body::Incoming;
use rand::Rng;
use std::cell;
use std::rc;
use std::time;
use world::Name;

/// Delay after which callers should retry while there is no configuration yet.
const UNCONFIGURED_RETRY_DELAY: time::Duration = time::Duration::from_millis(400);
/// Replies of the entry itself are sent this long before the route's timeout
/// ends.
const TIMEOUT_MARGIN: time::Duration = time::Duration::from_millis(10);
/// Number of priorities that are told apart; what is beyond counts as the last one.
const PRIORITIES: u8 = 16;
/// Longest time that a caller may take for a request, whatever it says.
const MAX_UPLOAD_TIME: time::Duration = time::Duration::from_secs(3_600);
/// A request that exceeds its organisation's limit is held for at most its latency
/// target divided by this.
const HOLD_DIVISOR: u32 = 2;
/// Callers return after at most the time that is left to them, divided by this.
pub(crate) const RETURN_DIVISOR: u32 = 3;
/// The longest time by which callers return later than a host takes calls again.
const MAX_RETURN_SPREAD: time::Duration = time::Duration::from_millis(500);

/// An admitted request, with its route, service and deadline.
pub(crate) struct Job {
    pub(crate) request: seam::Request,
    pub(crate) route: seam::Route,
    pub(crate) service: Name,
    pub(crate) tenant: Option<Name>,
    pub(crate) priority: u8,
    /// When the request head arrived.
    pub(crate) arrived_at: time::Instant,
    /// When the response must be complete.
    pub(crate) deadline: time::Instant,
    /// Identifies the request for refusals.
    pub(crate) digest: route::Digest,
    /// What the request holds that may crash engines.
    pub(crate) elements: rc::Rc<pool::ElementSet>,
    /// Whether it runs, alone, to test the verdict on it.
    pub(crate) is_test: bool,
    /// How the request ends, for the metrics.
    pub(crate) meter: rc::Rc<RequestMeter>,
    /// The bytes of the request's body.
    _body: HeldBytes,
    /// What the organisation was charged, until it is given back.
    charge: cell::Cell<Option<pool::Charge>>,
}

impl Job {
    /// Returns what identifies the request among those that were refused, here and at peers.
    pub(crate) fn refusal_digest(&self) -> u64 {
        self.digest.0 as u64
    }

    /// Gives back what the organisation was charged, because the request has not run
    /// and won't.
    pub(crate) fn refund(&self, rate_limiter: &cell::RefCell<pool::RateLimiter>) {
        if let Some(charge) = self.charge.take() {
            let now = time::Instant::now();
            rate_limiter.borrow_mut().refund(charge, now);
        }
    }

    pub(crate) fn time_left(&self) -> time::Duration {
        self.deadline
            .saturating_duration_since(time::Instant::now())
    }

    /// Starts a log line with this request's id, route and age.
    pub(crate) fn log_line(&self, event: &str) -> trace::LogLine {
        trace::LogLine::new(event)
            .with("request", &self.request.id)
            .with("route", &self.route.name)
            .with("age_ms", telemetry::millis(self.arrived_at.elapsed()))
    }

    /// Counts an answer that ends before it is complete, and starts its log line.
    pub(crate) fn log_cut(&self, cause: &'static str, upstream: &str) -> trace::LogLine {
        meters::meters().answers_cut.add(cause, 1);
        self.meter.cut(cause);
        self.log_line("answer_cut")
            .with("upstream", upstream)
            .with("cause", cause)
    }

    /// Counts and logs an answer that nothing shows to be its host's.
    pub(crate) fn record_unproven(&self, upstream: &str, fault: seam::ResponseFault) {
        let fault = fault.label();
        meters::meters().answers_unproven.add(fault, 1);
        let line = self.log_line("answer_unproven").with("upstream", upstream);
        line.with("fault", fault).info();
    }

    /// Builds the reply to this request if all hosts want no call until `retry_at`. Callers
    /// are told to return a little later, each at another time.
    pub(crate) fn paused_reply(&self, retry_at: time::Instant, now: time::Instant) -> seam::Reply {
        let spread = rand::rng().random_range(time::Duration::ZERO..MAX_RETURN_SPREAD);
        let delay = retry_at.saturating_duration_since(now) + spread;
        self.reply(StatusCode::SERVICE_UNAVAILABLE, Some(delay), "hosts_paused")
    }

    /// Builds a reply of the entry itself to this request.
    pub(crate) fn reply(
        &self,
        status: StatusCode,
        retry_after: Option<time::Duration>,
        reason: &'static str,
    ) -> seam::Reply {
        seam::Reply {
            status,
            id: Some(self.request.id.clone()),
            retry_after,
            reason,
        }
    }
}

/// Handles one request of a caller, from its head to the response.
pub(crate) async fn handle_request<P: seam::Platform>(
    entry: rc::Rc<Entry<P>>,
    request: hyper::Request<Incoming>,
    exchange: rc::Rc<Exchange<P>>,
) -> hyper::Response<Body> {
    let arrived_at = exchange.arrived_at;
    let (head, incoming) = request.into_parts();
    if P::is_readiness_probe(&head) {
        exchange.meter.set_kind(RequestKind::Probe);
        return readiness_response(&entry);
    }
    let request = match P::decode_head(&head) {
        Ok(request) => request,
        Err(error) => {
            trace::LogLine::new("head_refused")
                .with("fault", error)
                .info();
            if !incoming.is_end_stream() {
                exchange.leave_body();
            }
            let reply = seam::Reply {
                status: StatusCode::BAD_REQUEST,
                id: None,
                retry_after: None,
                reason: "head",
            };
            exchange.meter.refuse(reply.reason);
            return reply_response::<P>(&reply);
        }
    };
    let id = request.id.clone();
    exchange.set_id(&id);
    exchange.set_stage(pool::CallerStage::Uploading);
    let limits = entry.limits();
    let upload = UploadLimits {
        bytes: limits.body_bytes,
        pause: limits.idle_timeout,
        deadline: request.timeout.map(|t| arrived_at + t.min(MAX_UPLOAD_TIME)),
    };
    let body = tokio::select! {
        biased;
        () = exchange.refused() => Err(BodyError::NoRoom),
        body = request_body::read(incoming, &upload, &exchange) => body,
        () = entry.wait_for_last_refusal() => {
            exchange.leave_body();
            trace::LogLine::new("body_refused")
                .with("request", &id)
                .with("status", StatusCode::SERVICE_UNAVAILABLE.as_u16())
                .info();
            let reply = stopping::reply_unread(id);
            meters::meters().refusals.add(reply.reason, 1);
            exchange.meter.refuse(reply.reason);
            return reply_response::<P>(&reply);
        }
    };
    let body = match body {
        Ok(body) => body,
        Err(error) => {
            exchange.leave_body();
            let (status, reason) = error.reply();
            let (held, bound) = entry.memory.use_and_limit();
            trace::LogLine::new("body_refused")
                .with("request", &id)
                .with("status", status.as_u16())
                .with("reason", reason)
                .with("held", held)
                .with("bound", bound)
                .info();
            let reply = seam::Reply {
                status,
                id: Some(id),
                retry_after: (error == BodyError::NoRoom).then_some(ROOM_RETRY_DELAY),
                reason,
            };
            exchange.meter.refuse(reply.reason);
            return reply_response::<P>(&reply);
        }
    };
    exchange.set_stage(pool::CallerStage::Served);
    let request = seam::Request {
        body: body.bytes,
        ..request
    };
    let job = match admit(&entry, request, body.held, arrived_at, &exchange.meter).await {
        Ok(job) => job,
        Err(refusal) => {
            refusal.log(&id, entry.config_version());
            meters::meters().refusals.add(refusal.reply.reason, 1);
            exchange.meter.refuse(refusal.reply.reason);
            return reply_response::<P>(&refusal.reply);
        }
    };
    match job.route.retry.is_stream() {
        true => stream::serve(entry, rc::Rc::new(job), exchange).await,
        false => plain_service::serve(entry, job, exchange).await,
    }
}

/// Converts a reply of the entry itself into an HTTP response.
pub(crate) fn reply_response<P: seam::Platform>(reply: &seam::Reply) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(Body::Full(None));
    *response.status_mut() = reply.status;
    *response.headers_mut() = P::reply_headers(reply);
    response
}

fn readiness_response<P: seam::Platform>(entry: &Entry<P>) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(Body::Full(None));
    if !entry.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Decides whether a request may run: checks its route, API key, quarantine and
/// allowance, in this order.
async fn admit<P: seam::Platform>(
    entry: &Entry<P>,
    request: seam::Request,
    held: HeldBytes,
    arrived_at: time::Instant,
    meter: &rc::Rc<RequestMeter>,
) -> Result<Job, Refusal> {
    let refuse = |status, retry_after, reason| seam::Reply {
        status,
        id: Some(request.id.clone()),
        retry_after,
        reason,
    };
    let Some(active) = entry.active_config() else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let reply = refuse(status, Some(UNCONFIGURED_RETRY_DELAY), "unconfigured");
        return Err(reply.into());
    };
    let config = &active.config;
    let Some(route) = config.find_route(&request.host, request.path()) else {
        return Err(refuse(StatusCode::NOT_FOUND, None, "no_route").into());
    };
    meter.set_kind(match route.retry.is_stream() {
        true => RequestKind::Stream,
        false => RequestKind::Plain,
    });
    let tenant = match (&config.tenants, route.allow_anonymous) {
        (None, _) | (_, true) => None,
        (Some(_), false) => {
            let owner = request
                .api_key
                .as_ref()
                .and_then(|k| config.tenant_for_key(k));
            let unauthorized = || refuse(StatusCode::UNAUTHORIZED, None, "no_key");
            Some(owner.ok_or_else(unauthorized)?)
        }
    };
    let now = time::Instant::now();
    let digest = request_digest(&request, tenant);
    let elements = crashes::crashable_elements(&request, digest);
    let is_test = match crashes::check_quarantine(entry, &elements, &request.id, now) {
        Ok(is_test) => is_test,
        Err(()) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(refuse(status, None, "quarantined").into());
        }
    };
    let charge = match tenant {
        None => None,
        Some(tenant) => {
            let units = charge::request_units(&request, tenant);
            let timeout = request.timeout.unwrap_or(route.timeout);
            let patience = timeout.saturating_sub(arrived_at.elapsed()) / RETURN_DIVISOR;
            let held_until = arrived_at + route.latency_target / HOLD_DIVISOR;
            let charged = charge::charge(entry, tenant, units, held_until).await;
            charged.map_err(|excess| {
                let mut rate_limiter = entry.rate_limiter.borrow_mut();
                let now = time::Instant::now();
                let wait = rate_limiter.reserve_return(&tenant.name, &excess, patience, now);
                Refusal {
                    reply: refuse(StatusCode::TOO_MANY_REQUESTS, Some(wait), "over_allowance"),
                    excess: Some(Box::new((tenant.name.clone(), excess))),
                }
            })?
        }
    };
    let service = pick_service(route);
    let priority = match (tenant.and_then(|t| t.priority), active.has_ranks(&service)) {
        // The organisation's priority goes first, and the route's orders its own requests.
        (own, true) => combined_priority(own.unwrap_or(route.priority), route.priority),
        (own, false) => own.unwrap_or(route.priority),
    };
    let timeout = route.timeout.saturating_sub(TIMEOUT_MARGIN);
    let wait = request.timeout.unwrap_or(timeout).min(timeout);
    let job = Job {
        route: route.clone(),
        service,
        tenant: tenant.map(|t| t.name.clone()),
        priority,
        arrived_at,
        deadline: arrived_at + wait,
        digest,
        elements: rc::Rc::new(elements),
        is_test,
        meter: meter.clone(),
        charge: cell::Cell::new(charge),
        _body: held,
        request,
    };
    entry
        .retry_budget
        .borrow_mut()
        .record_request(&job.service, now);
    Ok(job)
}

/// Returns one number that orders requests by the first priority, and by the second where the
/// first is equal.
fn combined_priority(first: u8, second: u8) -> u8 {
    first.min(PRIORITIES - 1) * PRIORITIES + second.min(PRIORITIES - 1)
}

/// Picks a service at random, by the route's weights.
fn pick_service(route: &seam::Route) -> Name {
    let total: u32 = route.weights.iter().map(|(_, w)| w).sum();
    let mut point = match total {
        0 => 0,
        total => rand::rng().random_range(0..total),
    };
    for (service, weight) in &route.weights {
        if point < *weight {
            return service.clone();
        }
        point -= weight;
    }
    route
        .weights
        .first()
        .map_or(Name::from(""), |s| s.0.clone())
}

/// Returns the digest of organisation, target and body, by which a request that
/// crashes engines is recognised when it is sent again.
fn request_digest(request: &seam::Request, tenant: Option<&seam::Tenant>) -> route::Digest {
    let organisation = tenant.map_or("", |t| &t.name);
    let prefix = format!("{organisation} {}", request.target);
    route::Digest::of_bytes(prefix.as_bytes(), &request.body)
}
