//! From a caller's request to the way it is served.

use crate::body::Body;
use crate::entry::Entry;
use crate::guards::InHand;
use crate::measure;
use crate::plain;
use crate::stream;
use http::StatusCode;
use hyper::body::Incoming;
use rand::Rng;
use std::rc;
use std::time;
use world::Name;

/// When to come back to an entry that knows no configuration yet.
const UNREADY_PAUSE: time::Duration = time::Duration::from_millis(400);
/// Answers of the entry's own are given this much before a route's timeout.
const TIMEOUT_MARGIN: time::Duration = time::Duration::from_millis(10);
/// Units of a request where its organisation counts requests.
const ONE_REQUEST: f64 = 1.0;

/// A request that is admitted.
pub(crate) struct Job {
    pub(crate) call: seam::Request,
    pub(crate) route: seam::Route,
    pub(crate) service: Name,
    pub(crate) tenant: Option<Name>,
    pub(crate) rank: u8,
    pub(crate) arrived: time::Instant,
    pub(crate) deadline: time::Instant,
    pub(crate) digest: route::Digest,
}

impl Job {
    /// The time that is left.
    pub(crate) fn left(&self) -> time::Duration {
        self.deadline
            .saturating_duration_since(time::Instant::now())
    }

    /// Begins a log line about this request.
    pub(crate) fn line(&self, event: &str) -> trace::Line {
        trace::Line::new(event)
            .with("request", &self.call.id)
            .with("route", &self.route.name)
            .with("age_ms", measure::millis(self.arrived.elapsed()))
    }

    /// Makes an answer of the entry's own.
    pub(crate) fn reply(
        &self,
        status: StatusCode,
        again: Option<time::Duration>,
        reason: &'static str,
    ) -> seam::Reply {
        seam::Reply {
            status,
            id: Some(self.call.id.clone()),
            retry_after: again,
            reason,
        }
    }
}

/// Answers one request of a caller.
pub(crate) async fn answer<P: seam::Platform>(
    entry: rc::Rc<Entry<P>>,
    request: hyper::Request<Incoming>,
) -> hyper::Response<Body> {
    let arrived = time::Instant::now();
    let in_hand = InHand::new(&entry);
    let (head, incoming) = request.into_parts();
    if P::is_readiness_probe(&head) {
        return ready_answer(&entry);
    }
    let call = match P::decode_head(&head) {
        Ok(call) => call,
        Err(fault) => {
            trace::Line::new("head_refused").with("fault", fault).info();
            let reply = seam::Reply {
                status: StatusCode::BAD_REQUEST,
                id: None,
                retry_after: None,
                reason: "head",
            };
            return own::<P>(&reply);
        }
    };
    let id = call.id.clone();
    let most = entry
        .force()
        .map_or(seam::Limits::default(), |f| f.agreement.limits)
        .body_bytes;
    let body = match read_body(incoming, most).await {
        Ok(body) => body,
        Err(status) => {
            trace::Line::new("body_refused")
                .with("request", &id)
                .with("status", status.as_u16())
                .info();
            let reply = seam::Reply {
                status,
                id: Some(id),
                retry_after: None,
                reason: "body",
            };
            return own::<P>(&reply);
        }
    };
    let call = seam::Request { body, ..call };
    let job = match admit(&entry, call, arrived) {
        Ok(job) => job,
        Err(reply) => {
            trace::Line::new("refused")
                .with("request", &id)
                .with("status", reply.status.as_u16())
                .with("reason", reply.reason)
                .with("version", entry.force().map_or(0, |f| f.agreement.version))
                .info();
            metrics::counter!("refused", "reason" => reply.reason).increment(1);
            return own::<P>(&reply);
        }
    };
    match job.route.retry.is_stream() {
        true => stream::serve(entry, rc::Rc::new(job), in_hand).await,
        false => plain::serve(entry, job, in_hand).await,
    }
}

/// Makes an answer of the entry's own.
pub(crate) fn own<P: seam::Platform>(reply: &seam::Reply) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(Body::Whole(None));
    *response.status_mut() = reply.status;
    *response.headers_mut() = P::reply_headers(reply);
    response
}

fn ready_answer<P: seam::Platform>(entry: &Entry<P>) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(Body::Whole(None));
    if !entry.ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

async fn read_body(incoming: Incoming, most: usize) -> Result<bytes::Bytes, StatusCode> {
    use http_body_util::BodyExt;
    let limited = http_body_util::Limited::new(incoming, most);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

/// Decides whether a request may run, and for whom.
fn admit<P: seam::Platform>(
    entry: &Entry<P>,
    call: seam::Request,
    arrived: time::Instant,
) -> Result<Job, seam::Reply> {
    let refuse = |status, again, reason| seam::Reply {
        status,
        id: Some(call.id.clone()),
        retry_after: again,
        reason,
    };
    let Some(force) = entry.force() else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(refuse(status, Some(UNREADY_PAUSE), "unconfigured"));
    };
    let agreement = &force.agreement;
    let Some(route) = agreement.find_route(&call.host, call.path()) else {
        return Err(refuse(StatusCode::NOT_FOUND, None, "no_route"));
    };
    let tenant = match (&agreement.tenants, route.allow_anonymous) {
        (None, _) | (_, true) => None,
        (Some(_), false) => {
            let holder = call
                .api_key
                .as_ref()
                .and_then(|k| agreement.tenant_for_key(k));
            let unknown = || refuse(StatusCode::UNAUTHORIZED, None, "no_key");
            Some(holder.ok_or_else(unknown)?)
        }
    };
    let now = time::Instant::now();
    let digest = digest(&call, tenant);
    if entry.crashes.borrow().is_quarantined(digest) {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(refuse(status, None, "quarantined"));
    }
    if let Some(tenant) = tenant {
        let units = units(&call, tenant);
        let charged = entry.allowance.borrow_mut().charge(tenant, units, now);
        if let Err(wait) = charged {
            let status = StatusCode::TOO_MANY_REQUESTS;
            return Err(refuse(status, Some(wait), "over_allowance"));
        }
    }
    let rank = tenant.and_then(|t| t.priority).unwrap_or(route.priority);
    let service = draw(route);
    let timeout = route.timeout.saturating_sub(TIMEOUT_MARGIN);
    let patience = call.timeout.unwrap_or(timeout).min(timeout);
    let job = Job {
        route: route.clone(),
        service,
        tenant: tenant.map(|t| t.name.clone()),
        rank,
        arrived,
        deadline: arrived + patience,
        digest,
        call,
    };
    entry.retries.borrow_mut().record_request(&job.service, now);
    Ok(job)
}

/// What a request counts against its organisation's allowance.
fn units(call: &seam::Request, tenant: &seam::Tenant) -> f64 {
    match (tenant.default_units, call.token_counts) {
        (None, _) => ONE_REQUEST,
        (Some(_), Some((prompt, answer))) => (prompt + answer) as f64,
        (Some(plain), None) => plain as f64,
    }
}

/// Draws a service by the route's weights.
fn draw(route: &seam::Route) -> Name {
    let whole: u32 = route.weights.iter().map(|(_, w)| w).sum();
    let mut left = match whole {
        0 => 0,
        whole => rand::rng().random_range(0..whole),
    };
    for (service, weight) in &route.weights {
        if left < *weight {
            return service.clone();
        }
        left -= weight;
    }
    route
        .weights
        .first()
        .map_or(Name::from(""), |s| s.0.clone())
}

/// Names a request by what would crash an engine again.
fn digest(call: &seam::Request, tenant: Option<&seam::Tenant>) -> route::Digest {
    let who = tenant.map_or("", |t| &t.name);
    let what = format!("{who} {}", call.target);
    route::Digest::of_bytes(what.as_bytes(), &call.body)
}
