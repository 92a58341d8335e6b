//! Handles the calls to a fake worker.

use crate::tracks::names;
use crate::tracks::received_call::ReceivedCall;
use crate::tracks::store::json_response;
use crate::tracks::worker_state::ActiveStream;
use crate::tracks::worker_state::SharedState;
use crate::tracks::worker_state::State;
use serde_json::Value;
use serde_json::json;
use std::sync;
use std::time;
use web::Handler;

/// Time between two checks whether a paused prefill may continue.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Answers the calls to one worker.
pub(super) struct CallHandler {
    pub(super) shared: SharedState,
}

impl Handler for CallHandler {
    async fn handle(
        &self,
        request: web::Request<web::Incoming>,
    ) -> Option<web::Response<web::Body>> {
        let (head, body) = request.into_parts();
        let body = web::read_body(body, 16 << 20).await?;
        let headers = head.headers.iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        });
        let call = ReceivedCall {
            method: head.method.to_string(),
            path: head.uri.to_string(),
            headers: headers.collect(),
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        let internal_response = {
            let mut state = self.state();
            let is_crash_body = state.behaviour.crash_body == Some(call.body.as_str());
            state.crashed |= is_crash_body && call.header(names::EXPECT_INSTANCE) == state.id;
            // A crashed worker does not come back: its port and connections are closed.
            if state.crashed {
                if let Some(killer) = &state.killer {
                    killer.kill();
                }
                return None;
            }
            state.calls.push(call.clone());
            state.handle_internal(&call)
        };
        let behaviour = self.state().behaviour.clone();
        let response = match (behaviour.retry_after, internal_response) {
            (Some(delay), _) => Some(refusal(&call, delay)),
            (None, Some((status, value))) => Some(json_response(status, &value)),
            (None, None) => self.run(&call).await,
        };
        let mut response = response?;
        for value in behaviour.leaving {
            let value = web::header::HeaderValue::from_static(value);
            response.headers_mut().append(names::SERVER_LEAVING, value);
        }
        Some(response)
    }
}

/// Returns an answer that refuses a call and asks for no other for a time.
fn refusal(call: &ReceivedCall, delay: &str) -> web::Response<web::Body> {
    let mut response = json_response(503, &Value::Null);
    let headers = response.headers_mut();
    for (name, value) in [
        (names::REQUEST_ID, call.header(names::REQUEST_ID)),
        (names::NOT_EXECUTED, "1"),
        ("retry-after", delay),
    ] {
        if let Ok(value) = web::header::HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    }
    response
}

impl CallHandler {
    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.shared.lock().expect("the mutex is not poisoned")
    }

    /// Executes a caller's request or a prefill. Responds with status 421 if it is meant for
    /// another instance. Without a response, the connection is closed.
    async fn run(&self, call: &ReceivedCall) -> Option<web::Response<web::Body>> {
        let (stage, behaviour) = {
            let state = self.state();
            if call.header(names::EXPECT_INSTANCE) != state.id {
                return web::Response::builder()
                    .status(421)
                    .header(names::REQUEST_ID, call.header(names::REQUEST_ID))
                    .header(names::INSTANCE_ID, &state.id)
                    .body(web::full_body(String::new()))
                    .ok();
            }
            (state.stage, state.behaviour.clone())
        };
        let id = call.header(names::REQUEST_ID).to_owned();
        let head = web::Response::builder()
            .header(names::REQUEST_ID, &id)
            .header(names::RESPONSE_SEAL, format!("seal-{id}"));
        let is_prefill = call.header(names::SERVING_STAGE) == "prefill";
        if let Some(interval) = behaviour.noise_interval.filter(|_| !is_prefill) {
            let body = self.noise(interval, behaviour.noise_bytes);
            return head.status(200).body(body).ok();
        }
        if behaviour.answers_with_page && !is_prefill {
            self.state().use_reservation(call);
            return web::Response::builder().body(web::full_body("a page")).ok();
        }
        if stage.is_none() {
            let head = match (behaviour.drop_responses, behaviour.shed_calls) {
                (true, _) => return None,
                (_, true) => head.status(503).header(names::NOT_EXECUTED, "1"),
                (false, false) => head.status(behaviour.status),
            };
            let body = web::full_body(format!("{} {}", call.method, call.body));
            return head.body(body).ok();
        }
        if is_prefill && behaviour.shed_prefills {
            let head = head.status(503).header(names::NOT_EXECUTED, "1");
            return head.body(web::full_body(String::new())).ok();
        }
        if is_prefill {
            tokio::time::sleep(behaviour.prefill_time).await;
            while self.state().behaviour.prefill_paused {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            let handle = self.state().store_kv();
            let value = json!({"handle": handle, "tokens": 10, "version": 1});
            return Some(json_response(200, &value));
        }
        self.state().use_reservation(call);
        let last_event = call.header("last-event-id").parse().unwrap_or(0);
        let (sender, body) = web::body_channel();
        let active = ActiveStream::start(&self.shared);
        if behaviour.crash_part.is_some_and(|part| call.has_part(part)) {
            self.crash_after(behaviour.crash_delay, sender);
            return head.body(body).ok();
        }
        tokio::spawn(async move {
            let _active = active;
            for event in last_event + 1..=behaviour.event_count {
                if behaviour.abort_after.is_some_and(|limit| event > limit) {
                    return;
                }
                let text = format!("id: {event}\ndata: piece {event}\n\n");
                if sender.send(text.into()).await.is_err() {
                    return;
                }
                tokio::time::sleep(behaviour.event_interval).await;
            }
        });
        let head = head.header("content-type", "text/event-stream");
        // The announced length is never reached, so the reader sees an aborted body.
        let head = match behaviour.abort_after {
            Some(_) => head.header("content-length", "1000000"),
            None => head,
        };
        head.body(body).ok()
    }
}

impl CallHandler {
    /// Crashes the worker after a delay, in which the answer's head reaches the caller.
    fn crash_after(&self, delay: time::Duration, sender: web::BodySender) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            if let Ok(mut state) = shared.lock() {
                state.crashed = true;
                if let Some(killer) = &state.killer {
                    killer.kill();
                }
            }
            // The answer must not end in order before the connection is closed.
            std::future::pending::<()>().await;
            drop(sender);
        });
    }

    /// Returns a body of bytes without end, which is no event and no answer.
    fn noise(&self, interval: time::Duration, chunk_bytes: usize) -> web::Body {
        let (sender, body) = web::body_channel();
        let active = ActiveStream::start(&self.shared);
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let _active = active;
            while sender.send(vec![b'x'; chunk_bytes].into()).await.is_ok() {
                if let Ok(mut state) = shared.lock() {
                    state.noise_count += 1;
                }
                tokio::time::sleep(interval).await;
            }
        });
        body
    }
}
