//! Fake model engine that serves prefill, KV cache export and import, and token streams.
//!
//! Like the least forgiving of the real engines, it keeps the memory of a request until
//! the request finishes or is cancelled. Requests that the system forgets to cancel
//! therefore show up in a test.

use crate::answer;
use crate::cache_events::CacheEventLog;
use crate::test_server::TestServer;
use bytes::Bytes;
use serde_json::Value;
use std::collections;
use std::net;
use std::sync;
use std::thread;
use std::time;
use web::Handler;
use xxhash_rust::xxh3;

/// Text in a prompt that crashes the engine which prefills it.
const CRASH_MARKER: &str = "[crash]";
/// Number of prompt bytes in a block of the prefix cache.
const BLOCK_BYTES: usize = 256;
/// Number of tokens in a block of the prefix cache.
const BLOCK_TOKENS: u64 = 64;
/// Time between two checks of a condition that a request waits for, and of whether the
/// request was cancelled.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// Fraction by which each other request in the batch lengthens a decode step.
const BATCH_SLOWDOWN: f64 = 0.02;

/// Capacity and speed of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Number of requests that can be decoded at once.
    pub seats: usize,
    /// Number of pieces of KV memory. A prefill takes one for each 2,000 prompt tokens.
    pub pieces: u32,
    /// Prompt tokens prefilled per second.
    pub prefill_rate: f64,
    /// Time of a decode step, which yields one token, for a request alone in its batch.
    pub step_time: time::Duration,
    /// Time after which a prefill result that was not exported is discarded.
    pub result_ttl: time::Duration,
    /// Tokens of KV cache exported per second.
    pub export_rate: f64,
    /// Whether orders with an outdated fencing number are refused.
    pub fencing: bool,
    /// Delay of load reports and of cache events.
    pub report_delay: time::Duration,
    /// Number of blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Every `drop_every`-th cache event is never published; 0 publishes all of them.
    pub drop_every: u64,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            seats: 20,
            pieces: 200,
            prefill_rate: 20_000.0,
            step_time: time::Duration::from_millis(5),
            result_ttl: time::Duration::from_millis(900),
            export_rate: 200_000.0,
            fencing: true,
            report_delay: time::Duration::from_millis(500),
            cache_blocks: 2_048,
            drop_every: 10,
        }
    }
}

/// Counters of an engine, kept over crashes and restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineStats {
    /// Prompt tokens prefilled, without those found in the prefix cache.
    pub prefilled_tokens: u64,
    /// Prefilled tokens whose result was never exported.
    pub wasted_tokens: u64,
    /// Tokens sent in streams.
    pub streamed_tokens: u64,
    /// Imports refused because no seat or too little memory was free.
    pub refused_imports: u64,
    /// Crashes caused by a prompt.
    pub crashes: u64,
    /// Highest number of seats in use at once.
    pub peak_seats: usize,
}

/// A running engine, which tests can slow down, stall, kill and restart.
pub struct Engine {
    server: sync::Arc<TestServer>,
    shared_state: SharedState,
}

type SharedState = sync::Arc<sync::Mutex<State>>;

struct State {
    config: EngineConfig,
    /// Memory and seats in use, by request id.
    allocations: collections::BTreeMap<String, Allocation>,
    /// Prefill results that wait for their export, by KV handle.
    results: collections::BTreeMap<String, StoredResult>,
    /// Hashes of the blocks in the prefix cache, oldest first.
    cached_blocks: collections::VecDeque<u64>,
    cache_log: sync::Arc<CacheEventLog>,
    /// Recent load reports with their times; the first is the one now visible.
    reports: collections::VecDeque<(time::Instant, engine::LoadReport)>,
    stats: EngineStats,
    /// Highest fencing number of all orders so far.
    highest_fence: u64,
    orders: Vec<engine::Order>,
    is_prefilling: bool,
    is_exporting: bool,
    exports_stalled: bool,
    frozen: bool,
    crash_pending: bool,
    result_count: u64,
}

struct Allocation {
    pieces: u32,
    has_seat: bool,
}

/// Result of a prefill that waits for its export.
struct StoredResult {
    request: String,
    tokens: u64,
    computed_tokens: u64,
    expires_at: time::Instant,
}

impl Engine {
    /// Starts an engine without requests.
    pub fn start(address: net::SocketAddr, config: EngineConfig) -> Self {
        let state = State {
            config,
            allocations: collections::BTreeMap::new(),
            results: collections::BTreeMap::new(),
            cached_blocks: collections::VecDeque::new(),
            cache_log: sync::Arc::new(CacheEventLog::new()),
            reports: collections::VecDeque::new(),
            stats: EngineStats::default(),
            highest_fence: 0,
            orders: Vec::new(),
            is_prefilling: false,
            is_exporting: false,
            exports_stalled: false,
            frozen: false,
            crash_pending: false,
            result_count: 0,
        };
        let shared_state = sync::Arc::new(sync::Mutex::new(state));
        let server = TestServer::start(address, EngineHandler::new(&shared_state));
        let server = sync::Arc::new(server);
        restart_after_crash(&server, &shared_state);
        Self {
            server,
            shared_state,
        }
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Returns the counters.
    pub fn stats(&self) -> EngineStats {
        let mut state = lock(&self.shared_state);
        state.expire();
        state.stats
    }

    /// Returns the ids of the requests that hold memory.
    pub fn held_requests(&self) -> Vec<String> {
        let mut state = lock(&self.shared_state);
        state.expire();
        state.allocations.keys().cloned().collect()
    }

    /// Returns the accepted orders, oldest first.
    pub fn orders(&self) -> Vec<engine::Order> {
        lock(&self.shared_state).orders.clone()
    }

    /// Stalls the start of exports, or lets them continue.
    pub fn set_stalled(&self, exports_stalled: bool) {
        lock(&self.shared_state).exports_stalled = exports_stalled;
    }

    /// Freezes the engine with its connections open, or unfreezes it.
    pub fn set_frozen(&self, frozen: bool) {
        lock(&self.shared_state).frozen = frozen;
    }

    /// Returns whether the engine is listening and not frozen.
    pub fn is_responding(&self) -> bool {
        self.server.is_listening() && !lock(&self.shared_state).frozen
    }

    /// Divides the speed of prefill and decode by a factor, without notice to the
    /// daemons.
    pub fn slow_down(&self, factor: f64) {
        let mut state = lock(&self.shared_state);
        state.config.prefill_rate /= factor;
        state.config.step_time = state.config.step_time.mul_f64(factor);
    }

    /// Closes the port and all connections and discards all requests and caches.
    pub fn kill(&self) {
        self.server.kill();
        lock(&self.shared_state).discard_state();
    }

    /// Listens again on the same address, without requests.
    pub fn restart(&self) {
        self.server.restart(EngineHandler::new(&self.shared_state));
    }
}

/// Starts a thread that kills the engine once a prompt has crashed it, and restarts it
/// as the platform restarts a real one.
fn restart_after_crash(server: &sync::Arc<TestServer>, shared_state: &SharedState) {
    const RESTART_DELAY: time::Duration = time::Duration::from_millis(300);
    let weak = sync::Arc::downgrade(server);
    let shared_state = shared_state.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(POLL_INTERVAL);
            let Some(server) = weak.upgrade() else {
                return;
            };
            if !lock(&shared_state).crash_pending {
                continue;
            }
            server.kill();
            {
                let mut state = lock(&shared_state);
                state.stats.crashes += 1;
                state.discard_state();
            }
            thread::sleep(RESTART_DELAY);
            server.restart(EngineHandler::new(&shared_state));
        }
    });
}

/// Waits while the engine is frozen.
async fn wait_until_unfrozen(shared_state: &SharedState) {
    while lock(shared_state).frozen {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn lock(shared_state: &SharedState) -> sync::MutexGuard<'_, State> {
    shared_state.lock().expect("the mutex is not poisoned")
}

impl State {
    /// Discards everything that a real engine loses with its process.
    fn discard_state(&mut self) {
        let lost: u64 = self.results.values().map(|r| r.computed_tokens).sum();
        self.stats.wasted_tokens += lost;
        self.allocations.clear();
        self.results.clear();
        self.cached_blocks.clear();
        self.cache_log = sync::Arc::new(CacheEventLog::new());
        self.is_prefilling = false;
        self.is_exporting = false;
        self.crash_pending = false;
    }

    /// Discards prefill results that have outlived their time to live.
    fn expire(&mut self) {
        let now = time::Instant::now();
        let expired: Vec<String> = self
            .results
            .iter()
            .filter(|(_, r)| r.expires_at <= now)
            .map(|(kv, _)| kv.clone())
            .collect();
        for kv in expired {
            if let Some(result) = self.results.remove(&kv) {
                self.stats.wasted_tokens += result.computed_tokens;
                self.allocations.remove(&result.request);
            }
        }
    }

    /// Frees the memory, the seat and the results of a request.
    fn cancel(&mut self, request: &str) {
        self.allocations.remove(request);
        let unused: u64 = self
            .results
            .values()
            .filter(|r| r.request == request)
            .map(|r| r.computed_tokens)
            .sum();
        self.stats.wasted_tokens += unused;
        self.results.retain(|_, o| o.request != request);
    }

    /// Adds all whole blocks of a prompt to the prefix cache. Returns the number of
    /// tokens at its beginning that were cached already.
    fn cache_prompt(&mut self, prompt: &str) -> u64 {
        let mut hasher = xxh3::Xxh3::new();
        let mut cached_tokens = 0;
        let mut event = engine::CacheEvent::default();
        let mut prefix_cached = true;
        for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
            hasher.update(block);
            let hash = hasher.digest();
            prefix_cached &= self.cached_blocks.contains(&hash);
            if prefix_cached {
                cached_tokens += BLOCK_TOKENS;
                continue;
            }
            self.cached_blocks.push_back(hash);
            event.stored.push(format!("{hash:x}"));
            if self.cached_blocks.len() > self.config.cache_blocks
                && let Some(evicted) = self.cached_blocks.pop_front()
            {
                event.removed.push(format!("{evicted:x}"));
            }
        }
        if !event.stored.is_empty() {
            self.cache_log.publish(event, self.config.drop_every);
        }
        cached_tokens
    }

    fn cache_snapshot(&self) -> engine::CacheSnapshot {
        engine::CacheSnapshot {
            seq: self.cache_log.seq(),
            blocks: self
                .cached_blocks
                .iter()
                .map(|hash| format!("{hash:x}"))
                .collect(),
        }
    }

    fn seats_in_use(&self) -> usize {
        self.allocations.values().filter(|a| a.has_seat).count()
    }

    fn pieces_in_use(&self) -> u32 {
        self.allocations.values().map(|a| a.pieces).sum()
    }

    /// Returns the load as it was `report_delay` ago.
    fn delayed_load(&mut self) -> engine::LoadReport {
        let now = time::Instant::now();
        let current = engine::LoadReport {
            running: u32::try_from(self.seats_in_use()).unwrap_or(u32::MAX),
            free: self.config.pieces.saturating_sub(self.pieces_in_use()),
            prefills: u32::from(self.is_prefilling),
        };
        self.reports.push_back((now, current.clone()));
        while self.reports.len() > 1 && now - self.reports[1].0 > self.config.report_delay {
            self.reports.pop_front();
        }
        self.reports
            .front()
            .map_or(current, |(_, report)| report.clone())
    }
}

struct EngineHandler {
    shared_state: SharedState,
}

impl EngineHandler {
    fn new(shared_state: &SharedState) -> Self {
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
    /// the request is cancelled before the end.
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

    /// Waits for a duration of work. Returns false if the request is cancelled before
    /// its end.
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
        // The engine exports one result at a time.
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
            (state.cache_log.clone(), state.config.report_delay)
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
