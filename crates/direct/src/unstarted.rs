//! Answers to requests for streams that have not been started.

use crate::admit;
use crate::admit::Job;
use crate::body::Body;
use crate::entry::Entry;
use crate::exchange::Exchange;
use crate::forward;
use crate::plain_service;
use crate::stopping;
use crate::stream::StartError;
use crate::stream::StartedStream;
use http::StatusCode;
use seam::Upstreams;
use std::time;

/// A refused caller is told to retry only if more than this time is left until its
/// deadline.
const MIN_RETRY_TIME: time::Duration = time::Duration::from_secs(6);

/// Passes on an engine's failure with its body, which is no stream of events.
pub(crate) async fn forward_failure<P: seam::Platform>(
    entry: &Entry<P>,
    job: &Job,
    exchange: &Exchange<P>,
    started: StartedStream<<P::Upstreams as Upstreams>::Body>,
) -> hyper::Response<Body> {
    let StartedStream {
        mut response,
        engine,
        ..
    } = started;
    let body = forward::collect_body(job, &engine, &mut response.body, &entry.memory).await;
    let Some(body) = body else {
        let error = StartError::Unknown("body_incomplete");
        return failure_response(entry, job, &error, None);
    };
    job.meter.fail();
    let mut forwarded = hyper::Response::new(exchange.hold_answer(body));
    *forwarded.status_mut() = response.status;
    *forwarded.headers_mut() = response.headers;
    forwarded
}

/// Returns the answer to a stream that no engine has started.
pub(crate) fn failure_response<P: seam::Platform>(
    entry: &Entry<P>,
    job: &Job,
    error: &StartError,
    first_asked: Option<time::Instant>,
) -> hyper::Response<Body> {
    let reply = match error {
        StartError::Abandoned | StartError::NotExecuted(_) => {
            let mut refusals = entry.refusals.borrow_mut();
            let now = time::Instant::now();
            let digest = job.refusal_digest();
            let pool = entry.pools.get(&job.service);
            let pace = pool.and_then(|p| p.return_pace(job.priority, entry.entry_count(), now));
            let retry_after = (job.time_left() > MIN_RETRY_TIME).then(|| {
                let patience = job.time_left() / admit::RETURN_DIVISOR;
                match pace {
                    Some(pace) => {
                        let first_at = first_asked.unwrap_or(job.arrived_at);
                        refusals.record_paced(digest, first_at, pace, patience, now)
                    }
                    None => refusals.record_refusal(digest, patience, now),
                }
            });
            job.reply(StatusCode::SERVICE_UNAVAILABLE, retry_after, "no_seat")
        }
        StartError::Stopping => stopping::reply(job),
        StartError::Condemned => job.reply(StatusCode::SERVICE_UNAVAILABLE, None, "quarantined"),
        StartError::Unknown(_) if job.time_left().is_zero() => {
            job.reply(StatusCode::GATEWAY_TIMEOUT, None, "timeout")
        }
        StartError::Unknown(_) => job.reply(StatusCode::BAD_GATEWAY, None, "outcome_unknown"),
    };
    plain_service::refusal_response(entry, job, &reply)
}
