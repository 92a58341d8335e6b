//! Fake model engine that serves prefill, KV cache export and import, and token streams.
//!
//! Like the least forgiving of the real engines, it keeps the memory of a request until
//! the request finishes or is cancelled. Requests that the system forgets to cancel
//! therefore show up in a test.

mod handler;

use crate::cache_events::CacheEventPublisher;
use crate::test_server::TestServer;
use handler::EngineHandler;
use std::collections;
use std::net;
use std::sync;
use std::thread;
use std::time;
use xxhash_rust::xxh3;

/// Number of prompt bytes in a block of the prefix cache.
const BLOCK_BYTES: usize = 256;
/// Number of tokens in a block of the prefix cache.
const BLOCK_TOKENS: u64 = 64;
/// Time between two checks of a condition that a request waits for, and of whether the
/// request was cancelled.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

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

/// A running engine, which tests can slow down, stall, freeze, kill and restart.
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
    cache_publisher: sync::Arc<CacheEventPublisher>,
    /// Recent load reports with their times; the first is the one now visible.
    reports: collections::VecDeque<(time::Instant, engine::LoadReport)>,
    stats: EngineStats,
    /// Highest fencing number of all orders so far.
    highest_fence: u64,
    /// Accepted orders, oldest first.
    orders: Vec<engine::Order>,
    is_prefilling: bool,
    is_exporting: bool,
    exports_stalled: bool,
    frozen: bool,
    /// Whether a prompt has crashed the engine, which is then killed and restarted.
    crash_pending: bool,
    /// Number of prefill results so far; the KV handles are numbered by it.
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
            cache_publisher: sync::Arc::new(CacheEventPublisher::new()),
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

    /// Keeps exports from starting, or lets them start again. An export that is in
    /// progress continues.
    pub fn set_exports_stalled(&self, stalled: bool) {
        lock(&self.shared_state).exports_stalled = stalled;
    }

    /// Freezes the engine with its connections open, or unfreezes it. A frozen engine
    /// handles no new request and sends no token.
    pub fn set_frozen(&self, frozen: bool) {
        lock(&self.shared_state).frozen = frozen;
    }

    /// Returns whether the engine is listening and not frozen.
    pub fn is_responding(&self) -> bool {
        self.server.is_listening() && !lock(&self.shared_state).frozen
    }

    /// Divides the speeds of prefill and decode by a factor. The daemons are not told.
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

    /// Listens again on the same address. After [`Engine::kill`], it has no requests.
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
        self.cache_publisher = sync::Arc::new(CacheEventPublisher::new());
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
        self.results.retain(|_, r| r.request != request);
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
            self.cache_publisher.publish(event, self.config.drop_every);
        }
        cached_tokens
    }

    fn cache_snapshot(&self) -> engine::CacheSnapshot {
        engine::CacheSnapshot {
            seq: self.cache_publisher.seq(),
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
