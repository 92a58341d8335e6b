//! HTTP handler of the fake engine: prefill, KV cache export and import, streams, orders and
//! reports.

use super::Allocation;
use super::POLL_INTERVAL;
use super::SharedState;
use super::StoredResult;
use super::lock;
use super::wait_until_unfrozen;
use crate::answer;
use bytes::Bytes;
use serde_json::Value;
use std::time;
use web::Handler;

/// Text in a prompt that crashes the engine which prefills it.
const CRASH_MARKER: &str = "[crash]";
/// Fraction by which each other request in the batch lengthens a decode step.
const BATCH_SLOWDOWN: f64 = 0.02;

/// Serves the HTTP requests to one engine.
pub(super) struct EngineHandler {
    shared_state: SharedState,
}

impl EngineHandler {
    pub(super) fn new(shared_state: &SharedState) -> Self {
        Self {
            shared_state: shared_state.clone(),
        }
    }
}

impl Handler for EngineHandler {
    async fn handle(
        &self,
        request: web::Request<web::Incoming>,
    ) -> Option<web::Response<web::Body>> {
        let path = request.uri().path().to_owned();
        let body = web::read_body(request.into_body(), 16 << 20).await?;
        wait_until_unfrozen(&self.shared_state).await;
        match path.as_str() {
            "/kv/prefill" => self.prefill(parse_json(&body)?).await,
            "/kv/export" => self.export(parse_json(&body)?).await,
            "/kv/import" => self.import(parse_json(&body)?).await,
            "/v1/completions" => self.stream(parse_json(&body)?),
            "/cancel" => {
                let body: Value = parse_json(&body)?;
                lock(&self.shared_state).cancel(body["request"].as_str()?);
                json_response(&serde_json::json!({}))
            }
            "/running" => {
                let mut state = lock(&self.shared_state);
                state.expire();
                let requests = state.allocations.keys().cloned().collect();
                json_response(&engine::RunningRequests { requests })
            }
            "/load" => json_response(&lock(&self.shared_state).delayed_load()),
            "/cache" => json_response(&lock(&self.shared_state).cache_snapshot()),
            "/cache/events" => Some(self.cache_events()),
            "/orders" => self.order(&parse_json(&body)?),
            _ => error_response(404),
        }
    }
}

impl EngineHandler {
    /// Prefills a prompt and keeps the result for its export. Responds with status 499 if
    /// the request is cancelled before the prefill is done.
    async fn prefill(&self, call: engine::PrefillRequest) -> Option<web::Response<web::Body>> {
        let id = call.request.clone();
        let tokens = answer::prompt_tokens(&call.prompt);
        let pieces = u32::try_from(tokens.div_ceil(2_000)).ok()?;
        lock(&self.shared_state).allocations.insert(
            id.clone(),
            Allocation {
                pieces,
                has_seat: false,
            },
        );
        // The engine prefills one prompt at a time.
        loop {
            {
                let mut state = lock(&self.shared_state);
                if !state.allocations.contains_key(&id) {
                    return error_response(499);
                }
                if !state.is_prefilling {
                    state.is_prefilling = true;
                    break;
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if call.prompt.contains(CRASH_MARKER) {
            lock(&self.shared_state).crash_pending = true;
            std::future::pending::<()>().await;
        }
        let (cached, duration) = {
            let mut state = lock(&self.shared_state);
            let cached = state.cache_prompt(&call.prompt).min(tokens);
            let duration = (tokens - cached) as f64 / state.config.prefill_rate;
            (cached, time::Duration::from_secs_f64(duration))
        };
        let completed = self.work_unless_cancelled(&id, duration).await;
        let mut state = lock(&self.shared_state);
        state.is_prefilling = false;
        state.stats.prefilled_tokens += tokens - cached;
        if !completed {
            state.stats.wasted_tokens += tokens - cached;
            return error_response(499);
        }
        state.result_count += 1;
        let kv = format!("kv-{}", state.result_count);
        let expires_at = time::Instant::now() + state.config.result_ttl;
        state.results.insert(
            kv.clone(),
            StoredResult {
                request: id,
                tokens,
                computed_tokens: tokens - cached,
                expires_at,
            },
        );
        json_response(&engine::PrefillResult { kv, tokens, cached })
    }

    /// Waits for the duration of the work. Returns false if the request is cancelled
    /// before the work is done.
    async fn work_unless_cancelled(&self, id: &str, duration: time::Duration) -> bool {
        let end = time::Instant::now() + duration;
        while time::Instant::now() < end {
            if !lock(&self.shared_state).allocations.contains_key(id) {
                return false;
            }
            let left = end.saturating_duration_since(time::Instant::now());
            tokio::time::sleep(left.min(POLL_INTERVAL)).await;
        }
        lock(&self.shared_state).allocations.contains_key(id)
    }

    /// Sends a prefill result to another engine and frees its memory. Responds with status
    /// 410 if the result has expired.
    async fn export(&self, body: Value) -> Option<web::Response<web::Body>> {
        let kv = body["kv"].as_str()?;
        // The engine exports one result at a time.
        loop {
            {
                let mut state = lock(&self.shared_state);
                state.expire();
                if !state.results.contains_key(kv) {
                    return error_response(410);
                }
                if !state.is_exporting && !state.exports_stalled {
                    state.is_exporting = true;
                    break;
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let (tokens, export_rate) = {
            let state = lock(&self.shared_state);
            let tokens = state.results.get(kv).map_or(0, |r| r.tokens);
            (tokens, state.config.export_rate)
        };
        tokio::time::sleep(time::Duration::from_secs_f64(tokens as f64 / export_rate)).await;
        let mut state = lock(&self.shared_state);
        state.is_exporting = false;
        let result = state.results.remove(kv);
        let Some(result) = result else {
            return error_response(410);
        };
        state.allocations.remove(&result.request);
        json_response(&serde_json::json!({ "tokens": tokens }))
    }

    /// Allocates a seat and memory and fetches a prefill result. Responds with status 503 if
    /// either is lacking, and with 410 if the result could not be fetched.
    async fn import(&self, call: engine::ImportRequest) -> Option<web::Response<web::Body>> {
        {
            let mut state = lock(&self.shared_state);
            let lacks_memory = state.pieces_in_use() + call.pieces > state.config.pieces;
            if lacks_memory || state.seats_in_use() >= state.config.seats {
                state.stats.refused_imports += 1;
                return error_response(503);
            }
            let allocation = Allocation {
                pieces: call.pieces,
                has_seat: true,
            };
            state.allocations.insert(call.request.clone(), allocation);
            state.stats.peak_seats = state.stats.peak_seats.max(state.seats_in_use());
        }
        let fetched =
            tokio::task::spawn_blocking(move || fetch_export(&call.source, &call.kv)).await;
        match fetched {
            Ok(Some(())) => json_response(&serde_json::json!({})),
            _ => {
                lock(&self.shared_state).allocations.remove(&call.request);
                error_response(410)
            }
        }
    }

    /// Streams the tokens of an imported request from an offset on. Responds with status 410
    /// if the request holds no memory.
    fn stream(&self, call: engine::StreamRequest) -> Option<web::Response<web::Body>> {
        if !lock(&self.shared_state)
            .allocations
            .contains_key(&call.request)
        {
            return error_response(410);
        }
        let (sender, body) = web::body_channel();
        let shared_state = self.shared_state.clone();
        tokio::spawn(async move {
            let total = answer::answer_tokens(&call.prompt, call.max_tokens);
            for offset in call.offset..total {
                let step = {
                    let state = lock(&shared_state);
                    let other_seats = state.seats_in_use().saturating_sub(1) as f64;
                    state
                        .config
                        .step_time
                        .mul_f64(1.0 + BATCH_SLOWDOWN * other_seats)
                };
                tokio::time::sleep(step).await;
                wait_until_unfrozen(&shared_state).await;
                if !lock(&shared_state).allocations.contains_key(&call.request) {
                    return;
                }
                let text = answer::answer_token(&call.prompt, offset);
                let line = serde_json::json!({ "offset": offset, "text": text });
                // If the reader has disconnected, decoding goes on until it is cancelled.
                let _ = sender.send(Bytes::from(format!("data: {line}\n\n"))).await;
                lock(&shared_state).stats.streamed_tokens += 1;
            }
            let finish = match total < call.max_tokens {
                true => "stop",
                false => "length",
            };
            let line = serde_json::json!({ "finish": finish, "tokens": total });
            let end = format!("data: {line}\n\ndata: [DONE]\n\n");
            let _ = sender.send(Bytes::from(end)).await;
            lock(&shared_state).allocations.remove(&call.request);
        });
        let response = web::Response::builder()
            .header("content-type", "text/event-stream")
            .body(body)
            .expect("the status and headers are valid");
        Some(response)
    }

    /// Streams the events of the prefix cache, each `report_delay` after the change.
    fn cache_events(&self) -> web::Response<web::Body> {
        let (sender, body) = web::body_channel();
        let (events, delay) = {
            let state = lock(&self.shared_state);
            (state.cache_publisher.clone(), state.config.report_delay)
        };
        tokio::spawn(async move { events.stream_to(&sender, delay).await });
        web::Response::builder()
            .header("content-type", "text/event-stream")
            .body(body)
            .expect("the status and headers are valid")
    }

    /// Accepts an order. Responds with status 409 if its fencing number is outdated.
    fn order(&self, order: &engine::Order) -> Option<web::Response<web::Body>> {
        let mut state = lock(&self.shared_state);
        if state.config.fencing && order.fence < state.highest_fence {
            return error_response(409);
        }
        state.highest_fence = state.highest_fence.max(order.fence);
        state.orders.push(order.clone());
        json_response(&serde_json::json!({}))
    }
}

/// Fetches a prefill result from the engine at `source`; none if the export failed.
fn fetch_export(source: &str, kv: &str) -> Option<()> {
    let mut response = ureq::post(format!("http://{source}/kv/export"))
        .send_json(serde_json::json!({ "kv": kv }))
        .ok()?;
    let _: Value = response.body_mut().read_json().ok()?;
    Some(())
}

fn parse_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

/// Builds a response with a JSON body.
fn json_response<T: serde::Serialize>(value: &T) -> Option<web::Response<web::Body>> {
    let bytes = serde_json::to_vec(value).ok()?;
    Some(web::Response::new(web::full_body(bytes)))
}

/// Builds a response with an error status and an empty JSON object.
fn error_response(status: u16) -> Option<web::Response<web::Body>> {
    let response = web::Response::builder()
        .status(status)
        .body(web::full_body("{}"))
        .expect("the status is valid");
    Some(response)
}
