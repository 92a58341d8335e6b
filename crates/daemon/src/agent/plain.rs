//! Calls the plain service of this agent, with a claim or without.

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

/// Maximum calls that run at the service at a time.
const MAX_RUNNING_CALLS: u32 = 64;
/// Share of the time until the call's deadline in which the store must confirm the
/// claim.
const CLAIM_TIME_SHARE: f64 = 0.6;

/// The plain service of one agent, with its running calls.
pub(crate) struct PlainService {
    client: engine::ServiceClient,
    claims: Option<Claims>,
    load: LoadPublisher,
    running: atomic::AtomicU32,
    draining: atomic::AtomicBool,
}

impl PlainService {
    /// Creates the client of a service. Without `claims`, as on the agent of an
    /// engine, calls with a claim are refused.
    pub(crate) fn new(
        upstream: &conf::UpstreamSettings,
        claims: Option<Claims>,
        load: LoadPublisher,
    ) -> Self {
        Self {
            client: engine::ServiceClient::new(upstream.address),
            claims,
            load,
            running: atomic::AtomicU32::new(0),
            draining: atomic::AtomicBool::new(false),
        }
    }

    /// Refuses calls from now on.
    pub(crate) fn drain(&self) {
        self.draining.store(true, atomic::Ordering::SeqCst);
        self.load.update(|load| load.draining = true);
    }

    /// Returns whether no call is running.
    pub(crate) fn is_idle(&self) -> bool {
        self.running.load(atomic::Ordering::SeqCst) == 0
    }

    /// Returns whether the outcomes of all claimed calls are in the store.
    pub(crate) fn all_recorded(&self) -> bool {
        self.claims.as_ref().is_none_or(Claims::is_idle)
    }

    /// Calls the service at most once and returns the outcome.
    pub(crate) async fn call(self: sync::Arc<Self>, call: border::PlainCall) -> border::PlainReply {
        let running_call = RunningCall::begin(self.clone());
        if self.draining.load(atomic::Ordering::SeqCst) {
            return not_run_reply("this agent stops", true);
        }
        if running_call.count > MAX_RUNNING_CALLS {
            return not_run_reply("the service is full", true);
        }
        let Ok(body) = general_purpose::STANDARD.decode(&call.body) else {
            return not_run_reply("the body is not base64", false);
        };
        let span = trace::Span::start("agent", Some(&call.trace));
        let request = service_request(&call, body, &span.traceparent());
        match &call.claim {
            Some(key) => self.call_claimed(&call, key, request, running_call).await,
            None => self.call_unclaimed(request, running_call).await,
        }
    }

    /// Makes a call on a thread of its own, without a claim.
    async fn call_unclaimed(
        &self,
        request: engine::ServiceRequest,
        running_call: RunningCall,
    ) -> border::PlainReply {
        let client = self.client.clone();
        let (reply, answer) = oneshot::channel();
        let spawned = std::thread::Builder::new()
            .name("call".into())
            .spawn(move || {
                // If the entry has disconnected, the call has run all the same.
                let _ = reply.send(client.call(&request));
                drop(running_call);
            });
        if spawned.is_err() {
            return not_run_reply("this agent has no thread left", true);
        }
        match answer.await {
            Ok(Ok(answer)) => answered_reply(encode_answer(answer), false),
            Ok(Err(engine::ServiceError::NotSent(reason))) => not_run_reply(&reason, true),
            Ok(Err(engine::ServiceError::OutcomeUnknown(reason))) => {
                border::PlainReply::Unknown { reason }
            }
            Err(_) => border::PlainReply::Unknown {
                reason: "the call's thread died".into(),
            },
        }
    }

    /// Claims a call by its idempotency key, and makes it if it has not run before.
    async fn call_claimed(
        &self,
        call: &border::PlainCall,
        key: &str,
        mut request: engine::ServiceRequest,
        running_call: RunningCall,
    ) -> border::PlainReply {
        let Some(claims) = &self.claims else {
            return not_run_reply("this agent keeps no claims", true);
        };
        let timeout = time::Duration::from_millis(call.deadline);
        let deadline = time::Instant::now() + timeout;
        let client = self.client.clone();
        let organisation = call.organisation.as_bytes();
        let content = [
            call.method.as_bytes(),
            call.path.as_bytes(),
            call.body.as_bytes(),
        ];
        let submission = Submission {
            shard: once::shard_of(&call.organisation, key),
            key: once::HexHash::of_parts(&[organisation, key.as_bytes()]),
            content: once::HexHash::of_parts(&content),
            deadline: time::Instant::now() + timeout.mul_f64(CLAIM_TIME_SHARE),
            call: Box::new(move |reporter| {
                // The claim has used a part of the time until the deadline.
                request.timeout = deadline.saturating_duration_since(time::Instant::now());
                match client.call(&request) {
                    Ok(answer) => reporter.report_answer(encode_answer(answer)),
                    Err(engine::ServiceError::NotSent(reason)) => reporter.report_not_run(reason),
                    Err(engine::ServiceError::OutcomeUnknown(reason)) => {
                        reporter.report_unknown(reason)
                    }
                }
                drop(running_call);
            }),
        };
        match claims.submit(submission).await {
            once::CallOutcome::Answered(answer, replayed) => answered_reply(answer, replayed),
            once::CallOutcome::NotRun(reason) => border::PlainReply::NotRun {
                reason,
                retry: true,
                certain: true,
            },
            once::CallOutcome::AttemptNotRun(reason) => not_run_reply(&reason, true),
            once::CallOutcome::Unknown(reason) => border::PlainReply::Unknown { reason },
            once::CallOutcome::Mismatch => border::PlainReply::Mismatch,
        }
    }
}

/// Builds the request to the service; `parent` is the traceparent, or empty.
fn service_request(
    call: &border::PlainCall,
    body: Vec<u8>,
    parent: &str,
) -> engine::ServiceRequest {
    let mut headers: Vec<engine::Header> = call.headers.iter().map(convert_header).collect();
    if let Some(claim) = &call.claim {
        headers.push(make_header("idempotency-key", claim));
    }
    if !parent.is_empty() {
        headers.push(make_header("traceparent", parent));
    }
    engine::ServiceRequest {
        method: call.method.clone(),
        path: call.path.clone(),
        headers,
        body,
        timeout: time::Duration::from_millis(call.deadline),
    }
}

/// Converts a response to the form in which it is stored and sent to the entry, with
/// its body in base64.
fn encode_answer(answer: engine::ServiceResponse) -> once::Answer {
    once::Answer {
        status: answer.status,
        headers: answer
            .headers
            .into_iter()
            .map(|header| (header.name, header.value))
            .collect(),
        body: general_purpose::STANDARD.encode(answer.body),
    }
}

/// Counts a call as running until it is dropped.
struct RunningCall {
    service: sync::Arc<PlainService>,
    /// Running calls when this one began, including it.
    count: u32,
}

impl RunningCall {
    fn begin(service: sync::Arc<PlainService>) -> Self {
        let count = service.running.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        service.load.update(|load| load.waiting_requests = count);
        Self { service, count }
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        let count = self.service.running.fetch_sub(1, atomic::Ordering::SeqCst) - 1;
        self.service
            .load
            .update(|load| load.waiting_requests = count);
    }
}

fn make_header(name: &str, value: &str) -> engine::Header {
    engine::Header {
        name: name.to_owned(),
        value: value.to_owned(),
    }
}

fn convert_header(header: &border::Header) -> engine::Header {
    make_header(&header.name, &header.value)
}

fn not_run_reply(reason: &str, retry: bool) -> border::PlainReply {
    border::PlainReply::NotRun {
        reason: reason.to_owned(),
        retry,
        certain: false,
    }
}

fn answered_reply(answer: once::Answer, replayed: bool) -> border::PlainReply {
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
