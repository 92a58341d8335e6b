//! A model engine: prefill, export and import of its cache, and streams.
//!
//! It keeps what it holds until it is told to cancel or has finished, as the
//! worst of the real ones do, so that forgotten work shows.

use crate::answer;
use crate::cache_log::CacheLog;
use crate::site::Site;
use bytes::Bytes;
use serde_json::Value;
use std::collections;
use std::net;
use std::sync;
use std::thread;
use std::time;
use web::Handler;
use xxhash_rust::xxh3;

/// A prompt with this text kills the engine that works on it.
const CRASH_MARK: &str = "[crash]";
const BLOCK_BYTES: usize = 256;
const BLOCK_TOKENS: u64 = 64;
/// How often waiting work looks whether it was cancelled.
const LOOK: time::Duration = time::Duration::from_millis(5);
/// Batched decoding slows by this part for each request beside.
const BATCH_SLOWDOWN: f64 = 0.02;

/// What an engine is like.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Requests decoded at once.
    pub seats: usize,
    /// Pieces of memory.
    pub pieces: u32,
    /// Prompt tokens worked through in a second.
    pub prefill_rate: f64,
    /// Time for each token of an answer, alone.
    pub step_time: time::Duration,
    /// How long a prefilled result lives.
    pub result_ttl: time::Duration,
    /// Tokens that its link exports in a second.
    pub export_rate: f64,
    /// Whether it refuses old fencing numbers.
    pub fencing: bool,
    /// Age of the load it reports.
    pub report_delay: time::Duration,
    /// Blocks of prompts that it caches.
    pub cache_blocks: usize,
    /// Every so many cache events, one is never published; 0 for none.
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

/// What an engine has done since it was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineStats {
    /// Prompt tokens worked through, without cached ones.
    pub prefilled_tokens: u64,
    /// Those whose result was never imported.
    pub wasted_tokens: u64,
    /// Tokens streamed.
    pub streamed_tokens: u64,
    /// Times that more was asked than it has seats or pieces for.
    pub refused_imports: u64,
    /// Times that it died.
    pub crashes: u64,
    /// The most requests it held seats for at once.
    pub peak_seats: usize,
}

/// The engine.
pub struct Engine {
    site: sync::Arc<Site>,
    shared: Shared,
}

type Shared = sync::Arc<sync::Mutex<State>>;

struct State {
    config: EngineConfig,
    held: collections::BTreeMap<String, Held>,
    results: collections::BTreeMap<String, Outcome>,
    cached: collections::VecDeque<u64>,
    changes: sync::Arc<CacheLog>,
    reports: collections::VecDeque<(time::Instant, engine::LoadReport)>,
    stats: EngineStats,
    fence: u64,
    orders: Vec<engine::Order>,
    working: bool,
    exporting: bool,
    stalled: bool,
    frozen: bool,
    dying: bool,
    count: u64,
}

struct Held {
    pieces: u32,
    seated: bool,
}

/// A prefilled result that waits for its import.
struct Outcome {
    request: String,
    tokens: u64,
    fresh: u64,
    dies: time::Instant,
}

impl Engine {
    /// Starts an empty engine.
    pub fn start(address: net::SocketAddr, config: EngineConfig) -> Self {
        let state = State {
            config,
            held: collections::BTreeMap::new(),
            results: collections::BTreeMap::new(),
            cached: collections::VecDeque::new(),
            changes: sync::Arc::new(CacheLog::new()),
            reports: collections::VecDeque::new(),
            stats: EngineStats::default(),
            fence: 0,
            orders: Vec::new(),
            working: false,
            exporting: false,
            stalled: false,
            frozen: false,
            dying: false,
            count: 0,
        };
        let shared = sync::Arc::new(sync::Mutex::new(state));
        let site = Site::start(address, Answers::new(&shared));
        let site = sync::Arc::new(site);
        watch_death(&site, &shared);
        Self { site, shared }
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.site.address
    }

    /// What it has done.
    pub fn stats(&self) -> EngineStats {
        let mut state = lock(&self.shared);
        state.expire();
        state.stats
    }

    /// Requests that hold memory now.
    pub fn held_requests(&self) -> Vec<String> {
        let mut state = lock(&self.shared);
        state.expire();
        state.held.keys().cloned().collect()
    }

    /// The orders that it has taken.
    pub fn orders(&self) -> Vec<engine::Order> {
        lock(&self.shared).orders.clone()
    }

    /// Lets transfers out of this engine hang, or go on.
    pub fn set_stalled(&self, stalled: bool) {
        lock(&self.shared).stalled = stalled;
    }

    /// Stands still with its connections open, or goes on.
    pub fn set_frozen(&self, frozen: bool) {
        lock(&self.shared).frozen = frozen;
    }

    /// Tells whether it neither is dead nor stands still.
    pub fn is_responding(&self) -> bool {
        self.site.runs() && !lock(&self.shared).frozen
    }

    /// Changes its speed without a word.
    pub fn slow_down(&self, factor: f64) {
        let mut state = lock(&self.shared);
        state.config.prefill_rate /= factor;
        state.config.step_time = state.config.step_time.mul_f64(factor);
    }

    /// Dies; all that it held is gone.
    pub fn kill(&self) {
        self.site.kill();
        lock(&self.shared).die();
    }

    /// Comes back empty.
    pub fn restart(&self) {
        self.site.restart(Answers::new(&self.shared));
    }
}

/// Kills the engine when a prompt asks for it; a real one is brought back by
/// its platform, so this one comes back as well.
fn watch_death(site: &sync::Arc<Site>, shared: &Shared) {
    const REBIRTH: time::Duration = time::Duration::from_millis(300);
    let site = sync::Arc::downgrade(site);
    let shared = shared.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(LOOK);
            let Some(site) = site.upgrade() else { return };
            if !lock(&shared).dying {
                continue;
            }
            site.kill();
            {
                let mut state = lock(&shared);
                state.stats.crashes += 1;
                state.die();
            }
            thread::sleep(REBIRTH);
            site.restart(Answers::new(&shared));
        }
    });
}

/// Waits for as long as the engine stands still.
async fn thawed(shared: &Shared) {
    while lock(shared).frozen {
        tokio::time::sleep(LOOK).await;
    }
}

fn lock(shared: &Shared) -> sync::MutexGuard<'_, State> {
    shared.lock().expect("no panic holds it")
}

impl State {
    fn die(&mut self) {
        let lost: u64 = self.results.values().map(|o| o.fresh).sum();
        self.stats.wasted_tokens += lost;
        self.held.clear();
        self.results.clear();
        self.cached.clear();
        self.changes = sync::Arc::new(CacheLog::new());
        self.working = false;
        self.exporting = false;
        self.dying = false;
    }

    fn expire(&mut self) {
        let now = time::Instant::now();
        let dead: Vec<String> = self
            .results
            .iter()
            .filter(|(_, o)| o.dies <= now)
            .map(|(kv, _)| kv.clone())
            .collect();
        for kv in dead {
            if let Some(outcome) = self.results.remove(&kv) {
                self.stats.wasted_tokens += outcome.fresh;
                self.held.remove(&outcome.request);
            }
        }
    }

    fn cancel(&mut self, request: &str) {
        self.held.remove(request);
        let unused: u64 = self
            .results
            .values()
            .filter(|o| o.request == request)
            .map(|o| o.fresh)
            .sum();
        self.stats.wasted_tokens += unused;
        self.results.retain(|_, o| o.request != request);
    }

    /// Finds the cached blocks of a prompt and caches it whole.
    fn cache(&mut self, prompt: &str) -> u64 {
        let mut state = xxh3::Xxh3::new();
        let mut found = 0;
        let mut change = engine::CacheEvent::default();
        let mut matching = true;
        for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
            state.update(block);
            let hash = state.digest();
            matching &= self.cached.contains(&hash);
            if matching {
                found += BLOCK_TOKENS;
                continue;
            }
            self.cached.push_back(hash);
            change.stored.push(format!("{hash:x}"));
            if self.cached.len() > self.config.cache_blocks
                && let Some(old) = self.cached.pop_front()
            {
                change.removed.push(format!("{old:x}"));
            }
        }
        if !change.stored.is_empty() {
            self.changes.publish(change, self.config.drop_every);
        }
        found
    }

    fn cache_content(&self) -> engine::CacheSnapshot {
        engine::CacheSnapshot {
            seq: self.changes.seq(),
            blocks: self.cached.iter().map(|hash| format!("{hash:x}")).collect(),
        }
    }

    fn seated(&self) -> usize {
        self.held.values().filter(|h| h.seated).count()
    }

    fn used(&self) -> u32 {
        self.held.values().map(|h| h.pieces).sum()
    }

    /// Reports what was true a lag ago.
    fn load(&mut self) -> engine::LoadReport {
        let now = time::Instant::now();
        let current = engine::LoadReport {
            running: u32::try_from(self.seated()).unwrap_or(u32::MAX),
            free: self.config.pieces.saturating_sub(self.used()),
            prefills: u32::from(self.working),
        };
        self.reports.push_back((now, current.clone()));
        while self.reports.len() > 1 && now - self.reports[1].0 > self.config.report_delay {
            self.reports.pop_front();
        }
        self.reports.front().map_or(current, |(_, l)| l.clone())
    }
}

struct Answers {
    shared: Shared,
}

impl Answers {
    fn new(shared: &Shared) -> Self {
        Self {
            shared: shared.clone(),
        }
    }
}

impl Handler for Answers {
    async fn handle(
        &self,
        request: web::Request<web::Incoming>,
    ) -> Option<web::Response<web::Body>> {
        let path = request.uri().path().to_owned();
        let body = web::read_body(request.into_body(), 16 << 20).await?;
        thawed(&self.shared).await;
        match path.as_str() {
            "/kv/prefill" => self.prefill(parse(&body)?).await,
            "/kv/export" => self.export(parse(&body)?).await,
            "/kv/import" => self.import(parse(&body)?).await,
            "/v1/completions" => self.stream(parse(&body)?),
            "/cancel" => {
                let body: Value = parse(&body)?;
                lock(&self.shared).cancel(body["request"].as_str()?);
                json(&serde_json::json!({}))
            }
            "/running" => {
                let mut state = lock(&self.shared);
                state.expire();
                let requests = state.held.keys().cloned().collect();
                json(&engine::RunningRequests { requests })
            }
            "/load" => json(&lock(&self.shared).load()),
            "/cache" => json(&lock(&self.shared).cache_content()),
            "/cache/events" => Some(self.cache_events()),
            "/orders" => self.order(&parse(&body)?),
            _ => refuse(404),
        }
    }
}

impl Answers {
    async fn prefill(&self, ask: engine::PrefillRequest) -> Option<web::Response<web::Body>> {
        let id = ask.request.clone();
        let tokens = answer::prompt_tokens(&ask.prompt);
        let pieces = u32::try_from(tokens.div_ceil(2_000)).ok()?;
        lock(&self.shared).held.insert(
            id.clone(),
            Held {
                pieces,
                seated: false,
            },
        );
        // One prompt at a time, as fast as the engine is.
        loop {
            {
                let mut state = lock(&self.shared);
                if !state.held.contains_key(&id) {
                    return refuse(499);
                }
                if !state.working {
                    state.working = true;
                    break;
                }
            }
            tokio::time::sleep(LOOK).await;
        }
        if ask.prompt.contains(CRASH_MARK) {
            lock(&self.shared).dying = true;
            std::future::pending::<()>().await;
        }
        let (cached, work) = {
            let mut state = lock(&self.shared);
            let cached = state.cache(&ask.prompt).min(tokens);
            let work = (tokens - cached) as f64 / state.config.prefill_rate;
            (cached, time::Duration::from_secs_f64(work))
        };
        let done = self.work(&id, work).await;
        let mut state = lock(&self.shared);
        state.working = false;
        state.stats.prefilled_tokens += tokens - cached;
        if !done {
            state.stats.wasted_tokens += tokens - cached;
            return refuse(499);
        }
        state.count += 1;
        let kv = format!("kv-{}", state.count);
        let dies = time::Instant::now() + state.config.result_ttl;
        state.results.insert(
            kv.clone(),
            Outcome {
                request: id,
                tokens,
                fresh: tokens - cached,
                dies,
            },
        );
        json(&engine::PrefillResult { kv, tokens, cached })
    }

    /// Works for a time; gives false where the request is cancelled meanwhile.
    async fn work(&self, id: &str, work: time::Duration) -> bool {
        let end = time::Instant::now() + work;
        while time::Instant::now() < end {
            if !lock(&self.shared).held.contains_key(id) {
                return false;
            }
            let left = end.saturating_duration_since(time::Instant::now());
            tokio::time::sleep(left.min(LOOK)).await;
        }
        lock(&self.shared).held.contains_key(id)
    }

    async fn export(&self, body: Value) -> Option<web::Response<web::Body>> {
        let kv = body["kv"].as_str()?;
        loop {
            {
                let mut state = lock(&self.shared);
                state.expire();
                if !state.results.contains_key(kv) {
                    return refuse(410);
                }
                if !state.exporting && !state.stalled {
                    state.exporting = true;
                    break;
                }
            }
            tokio::time::sleep(LOOK).await;
        }
        // The link carries one result after the other.
        let (tokens, link) = {
            let state = lock(&self.shared);
            let tokens = state.results.get(kv).map_or(0, |o| o.tokens);
            (tokens, state.config.export_rate)
        };
        tokio::time::sleep(time::Duration::from_secs_f64(tokens as f64 / link)).await;
        let mut state = lock(&self.shared);
        state.exporting = false;
        let outcome = state.results.remove(kv);
        let Some(outcome) = outcome else {
            return refuse(410);
        };
        state.held.remove(&outcome.request);
        json(&serde_json::json!({ "tokens": tokens }))
    }

    async fn import(&self, ask: engine::ImportRequest) -> Option<web::Response<web::Body>> {
        {
            let mut state = lock(&self.shared);
            let full = state.used() + ask.pieces > state.config.pieces;
            if full || state.seated() >= state.config.seats {
                state.stats.refused_imports += 1;
                return refuse(503);
            }
            let held = Held {
                pieces: ask.pieces,
                seated: true,
            };
            state.held.insert(ask.request.clone(), held);
            state.stats.peak_seats = state.stats.peak_seats.max(state.seated());
        }
        let fetched = tokio::task::spawn_blocking(move || fetch(&ask.source, &ask.kv)).await;
        match fetched {
            Ok(Some(())) => json(&serde_json::json!({})),
            _ => {
                lock(&self.shared).held.remove(&ask.request);
                refuse(410)
            }
        }
    }

    fn stream(&self, ask: engine::StreamRequest) -> Option<web::Response<web::Body>> {
        if !lock(&self.shared).held.contains_key(&ask.request) {
            return refuse(410);
        }
        let (feed, body) = web::body_channel();
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let total = answer::answer_tokens(&ask.prompt, ask.max_tokens);
            for offset in ask.offset..total {
                let step = {
                    let state = lock(&shared);
                    let beside = state.seated().saturating_sub(1) as f64;
                    state
                        .config
                        .step_time
                        .mul_f64(1.0 + BATCH_SLOWDOWN * beside)
                };
                tokio::time::sleep(step).await;
                thawed(&shared).await;
                if !lock(&shared).held.contains_key(&ask.request) {
                    return;
                }
                let text = answer::answer_token(&ask.prompt, offset);
                let line = serde_json::json!({ "offset": offset, "text": text });
                // The engine goes on without a listener until it is cancelled.
                let _ = feed.send(Bytes::from(format!("data: {line}\n\n"))).await;
                lock(&shared).stats.streamed_tokens += 1;
            }
            let finish = match total < ask.max_tokens {
                true => "stop",
                false => "length",
            };
            let line = serde_json::json!({ "finish": finish, "tokens": total });
            let end = format!("data: {line}\n\ndata: [DONE]\n\n");
            let _ = feed.send(Bytes::from(end)).await;
            lock(&shared).held.remove(&ask.request);
        });
        let response = web::Response::builder()
            .header("content-type", "text/event-stream")
            .body(body)
            .expect("a known head makes a response");
        Some(response)
    }

    /// Publishes changes of the cache, each a lag after it was made.
    fn cache_events(&self) -> web::Response<web::Body> {
        let (feed, body) = web::body_channel();
        let (changes, lag) = {
            let state = lock(&self.shared);
            (state.changes.clone(), state.config.report_delay)
        };
        tokio::spawn(async move { changes.feed(&feed, lag).await });
        web::Response::builder()
            .header("content-type", "text/event-stream")
            .body(body)
            .expect("a known head makes a response")
    }

    fn order(&self, order: &engine::Order) -> Option<web::Response<web::Body>> {
        let mut state = lock(&self.shared);
        if state.config.fencing && order.fence < state.fence {
            return refuse(409);
        }
        state.fence = state.fence.max(order.fence);
        state.orders.push(order.clone());
        json(&serde_json::json!({}))
    }
}

fn fetch(source: &str, kv: &str) -> Option<()> {
    let mut answer = ureq::post(format!("http://{source}/kv/export"))
        .send_json(serde_json::json!({ "kv": kv }))
        .ok()?;
    let _: Value = answer.body_mut().read_json().ok()?;
    Some(())
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn json<T: serde::Serialize>(value: &T) -> Option<web::Response<web::Body>> {
    let bytes = serde_json::to_vec(value).ok()?;
    Some(web::Response::new(web::full_body(bytes)))
}

fn refuse(status: u16) -> Option<web::Response<web::Body>> {
    let response = web::Response::builder()
        .status(status)
        .body(web::full_body("{}"))
        .expect("a known status makes a response");
    Some(response)
}
