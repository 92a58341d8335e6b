//! Calls of the plain service beside this agent.

use crate::app::Heart;
use base64::Engine;
use base64::engine::general_purpose;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::sync::oneshot;
use wire::border;

/// Calls given to the service at a time.
const MOST_CALLS: u32 = 64;

/// The plain calls of one agent.
pub(crate) struct Plain {
    service: engine::Service,
    heart: Heart,
    running: atomic::AtomicU32,
    draining: atomic::AtomicBool,
}

impl Plain {
    pub(crate) fn new(upstream: &conf::UpstreamSettings, heart: Heart) -> Self {
        Self {
            service: engine::Service::new(upstream.address),
            heart,
            running: atomic::AtomicU32::new(0),
            draining: atomic::AtomicBool::new(false),
        }
    }

    /// Takes no calls from now on.
    pub(crate) fn drain(&self) {
        self.draining.store(true, atomic::Ordering::SeqCst);
        self.heart.set(|load| load.draining = true);
    }

    /// Tells whether no call is running.
    pub(crate) fn is_idle(&self) -> bool {
        self.running.load(atomic::Ordering::SeqCst) == 0
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
        let hop = trace::Hop::begin("agent", Some(&call.trace));
        let mut headers: Vec<engine::Field> = call.headers.iter().map(field_of).collect();
        if let Some(claim) = &call.claim {
            headers.push(field("idempotency-key", claim));
        }
        let parent = hop.traceparent();
        if !parent.is_empty() {
            headers.push(field("traceparent", &parent));
        }
        let outgoing = engine::Call {
            method: call.method,
            path: call.path,
            headers,
            body,
            limit: time::Duration::from_millis(call.deadline),
        };
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
            Ok(Ok(answer)) => answered(answer),
            Ok(Err(engine::CallError::NotSent(reason))) => not_run(&reason, true),
            Ok(Err(engine::CallError::Unknown(reason))) => border::PlainReply::Unknown { reason },
            Err(_) => border::PlainReply::Unknown {
                reason: "the call's thread died".into(),
            },
        }
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
        plain.heart.set(|load| load.waiting = count);
        Self { plain, count }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let left = self.plain.running.fetch_sub(1, atomic::Ordering::SeqCst) - 1;
        self.plain.heart.set(|load| load.waiting = left);
    }
}

fn field(name: &str, value: &str) -> engine::Field {
    engine::Field {
        name: name.to_owned(),
        value: value.to_owned(),
    }
}

fn field_of(header: &border::Header) -> engine::Field {
    field(&header.name, &header.value)
}

fn not_run(reason: &str, retry: bool) -> border::PlainReply {
    border::PlainReply::NotRun {
        reason: reason.to_owned(),
        retry,
    }
}

fn answered(answer: engine::Answer) -> border::PlainReply {
    let headers = answer
        .headers
        .into_iter()
        .map(|f| border::Header {
            name: f.name,
            value: f.value,
        })
        .collect();
    border::PlainReply::Answered {
        status: answer.status,
        headers,
        body: general_purpose::STANDARD.encode(answer.body),
        replayed: false,
    }
}
