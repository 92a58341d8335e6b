//! Calls of the plain service beside this agent.

use crate::agent::claims::Claims;
use crate::agent::claims::Submission;
use crate::app::LoadPublisher;
use base64::Engine;
use base64::engine::general_purpose;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::sync::oneshot;
use wire::border;

/// Calls given to the service at a time.
const MOST_CALLS: u32 = 64;
/// The part of a caller's time that a claim may wait for the store.
const CLAIM_PART: f64 = 0.6;

/// The plain calls of one agent.
pub(crate) struct Plain {
    service: engine::ServiceClient,
    claims: Option<Claims>,
    heart: LoadPublisher,
    running: atomic::AtomicU32,
    draining: atomic::AtomicBool,
}

impl Plain {
    /// Without `claims`, as beside an engine, no call with a claim is run.
    pub(crate) fn new(
        upstream: &conf::UpstreamSettings,
        claims: Option<Claims>,
        heart: LoadPublisher,
    ) -> Self {
        Self {
            service: engine::ServiceClient::new(upstream.address),
            claims,
            heart,
            running: atomic::AtomicU32::new(0),
            draining: atomic::AtomicBool::new(false),
        }
    }

    /// Takes no calls from now on.
    pub(crate) fn drain(&self) {
        self.draining.store(true, atomic::Ordering::SeqCst);
        self.heart.update(|load| load.draining = true);
    }

    /// Tells whether no call is running.
    pub(crate) fn is_idle(&self) -> bool {
        self.running.load(atomic::Ordering::SeqCst) == 0
    }

    /// Tells whether every outcome is in the store.
    pub(crate) fn is_recorded(&self) -> bool {
        self.claims.as_ref().is_none_or(Claims::is_idle)
    }

    /// Makes one call, once.
    pub(crate) async fn call(self: sync::Arc<Self>, call: border::PlainCall) -> border::PlainReply {
        let busy = Busy::begin(self.clone());
        if self.draining.load(atomic::Ordering::SeqCst) {
            return not_run("this agent stops", true);
        }
        if busy.count > MOST_CALLS {
            return not_run("the service is full", true);
        }
        let Ok(body) = general_purpose::STANDARD.decode(&call.body) else {
            return not_run("the body is not base64", false);
        };
        let hop = trace::Span::start("agent", Some(&call.trace));
        let outgoing = outgoing(&call, body, &hop.traceparent());
        match &call.claim {
            Some(key) => self.call_claimed(&call, key, outgoing, busy).await,
            None => self.call_freely(outgoing, busy).await,
        }
    }

    async fn call_freely(
        &self,
        outgoing: engine::ServiceRequest,
        busy: Busy,
    ) -> border::PlainReply {
        let service = self.service.clone();
        let (reply, answer) = oneshot::channel();
        let spawned = std::thread::Builder::new()
            .name("call".into())
            .spawn(move || {
                // The entry may have gone; the call has still run once.
                let _ = reply.send(service.call(&outgoing));
                drop(busy);
            });
        if spawned.is_err() {
            return not_run("this agent has no thread left", true);
        }
        match answer.await {
            Ok(Ok(answer)) => answered(kept(answer), false),
            Ok(Err(engine::ServiceError::NotSent(reason))) => not_run(&reason, true),
            Ok(Err(engine::ServiceError::OutcomeUnknown(reason))) => {
                border::PlainReply::Unknown { reason }
            }
            Err(_) => border::PlainReply::Unknown {
                reason: "the call's thread died".into(),
            },
        }
    }

    async fn call_claimed(
        &self,
        call: &border::PlainCall,
        key: &str,
        mut outgoing: engine::ServiceRequest,
        busy: Busy,
    ) -> border::PlainReply {
        let Some(claims) = &self.claims else {
            return not_run("this agent keeps no claims", true);
        };
        let limit = time::Duration::from_millis(call.deadline);
        let end = time::Instant::now() + limit;
        let service = self.service.clone();
        let organisation = call.organisation.as_bytes();
        let content = [
            call.method.as_bytes(),
            call.path.as_bytes(),
            call.body.as_bytes(),
        ];
        let submission = Submission {
            shard: once::shard_of(&call.organisation, key),
            key: once::KeyHash::of_parts(&[organisation, key.as_bytes()]),
            content: once::KeyHash::of_parts(&content),
            until: time::Instant::now() + limit.mul_f64(CLAIM_PART),
            work: Box::new(move |report| {
                // The claim has taken its part of the caller's time.
                outgoing.timeout = end.saturating_duration_since(time::Instant::now());
                match service.call(&outgoing) {
                    Ok(answer) => report.ran(kept(answer)),
                    Err(engine::ServiceError::NotSent(reason)) => report.not_run(reason),
                    Err(engine::ServiceError::OutcomeUnknown(reason)) => report.lost(reason),
                }
                drop(busy);
            }),
        };
        match claims.submit(submission).await {
            once::CallOutcome::Answered(answer, replayed) => answered(answer, replayed),
            once::CallOutcome::NotRun(reason) => border::PlainReply::NotRun {
                reason,
                retry: true,
                certain: true,
            },
            once::CallOutcome::AttemptNotRun(reason) => not_run(&reason, true),
            once::CallOutcome::Unknown(reason) => border::PlainReply::Unknown { reason },
            once::CallOutcome::Mismatch => border::PlainReply::Mismatch,
        }
    }
}

/// What the service is sent.
fn outgoing(call: &border::PlainCall, body: Vec<u8>, parent: &str) -> engine::ServiceRequest {
    let mut headers: Vec<engine::Header> = call.headers.iter().map(field_of).collect();
    if let Some(claim) = &call.claim {
        headers.push(field("idempotency-key", claim));
    }
    if !parent.is_empty() {
        headers.push(field("traceparent", parent));
    }
    engine::ServiceRequest {
        method: call.method.clone(),
        path: call.path.clone(),
        headers,
        body,
        timeout: time::Duration::from_millis(call.deadline),
    }
}

/// The form in which answers are kept and sent.
fn kept(answer: engine::ServiceResponse) -> once::Answer {
    once::Answer {
        status: answer.status,
        headers: answer
            .headers
            .into_iter()
            .map(|f| (f.name, f.value))
            .collect(),
        body: general_purpose::STANDARD.encode(answer.body),
    }
}

/// Counts one call while it lasts.
struct Busy {
    plain: sync::Arc<Plain>,
    count: u32,
}

impl Busy {
    fn begin(plain: sync::Arc<Plain>) -> Self {
        let count = plain.running.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        plain.heart.update(|load| load.waiting_requests = count);
        Self { plain, count }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let left = self.plain.running.fetch_sub(1, atomic::Ordering::SeqCst) - 1;
        self.plain.heart.update(|load| load.waiting_requests = left);
    }
}

fn field(name: &str, value: &str) -> engine::Header {
    engine::Header {
        name: name.to_owned(),
        value: value.to_owned(),
    }
}

fn field_of(header: &border::Header) -> engine::Header {
    field(&header.name, &header.value)
}

fn not_run(reason: &str, retry: bool) -> border::PlainReply {
    border::PlainReply::NotRun {
        reason: reason.to_owned(),
        retry,
        certain: false,
    }
}

fn answered(answer: once::Answer, replayed: bool) -> border::PlainReply {
    let headers = answer
        .headers
        .into_iter()
        .map(|(name, value)| border::Header { name, value })
        .collect();
    border::PlainReply::Answered {
        status: answer.status,
        headers,
        body: answer.body,
        replayed,
    }
}
