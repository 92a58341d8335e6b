//! Mirrors the prefix cache of a prefill engine from its cache events, and reports
//! the blocks that several prompts share to the entries.

use crossbeam::channel;
use jsonrpsee::core;
use jsonrpsee::server;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::StdRng;
use route::Backoff;
use route::CacheEvent;
use route::CacheMirror;
use route::PrefixHashes;
use std::collections;
use std::io;
use std::sync;
use std::thread;
use std::time;
use tokio::sync::watch;
use wire::CacheReporter;

/// Changes within this time are combined into one report.
const COALESCE_DELAY: time::Duration = time::Duration::from_millis(200);
/// Delay between the first error and the next attempt to follow the engine.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
/// Maximum delay between attempts; the delay grows with each failure.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(5);
/// Minimum time between snapshots when events are missing from the stream.
const SNAPSHOT_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Maximum prompts that wait to be counted; more are dropped.
const MAX_QUEUED_PROMPTS: usize = 256;

type BlockHashes = collections::BTreeSet<u64>;

/// Follows the prefix cache of one engine. Clones share the same state.
#[derive(Clone)]
pub(crate) struct CacheFollower {
    mirror: sync::Arc<Mutex<CacheMirror>>,
    /// Cached blocks that several prompts share.
    shared: watch::Sender<BlockHashes>,
    prompts: channel::Sender<String>,
}

impl CacheFollower {
    /// Starts the threads that follow the engine's cache and count its prompts.
    pub(crate) fn start(engine: engine::EngineClient) -> io::Result<Self> {
        let (prompts, queue) = channel::bounded(MAX_QUEUED_PROMPTS);
        let cache = Self {
            mirror: sync::Arc::default(),
            shared: watch::channel(BlockHashes::new()).0,
            prompts,
        };
        let follower = cache.clone();
        thread::Builder::new()
            .name("cache".into())
            .spawn(move || follower.follow(&engine))?;
        let counter = cache.clone();
        thread::Builder::new()
            .name("prompts".into())
            .spawn(move || counter.count_prompts(&queue))?;
        Ok(cache)
    }

    /// Counts a prompt that is sent to the engine.
    pub(crate) fn record_prompt(&self, prompt: &str) {
        // The counts only estimate future use, so a burst may leave some prompts out.
        let _ = self.prompts.try_send(prompt.to_owned());
    }

    fn count_prompts(&self, queue: &channel::Receiver<String>) {
        while let Ok(prompt) = queue.recv() {
            self.update_mirror(|mirror| mirror.record_prompt(&PrefixHashes::of_prompt(&prompt)));
        }
    }

    /// Follows the engine's cache events without end. If the stream ends or a call
    /// fails, but not after a stall, the mirror is cleared and the engine is tried again
    /// after a delay with jitter.
    fn follow(&self, engine: &engine::EngineClient) {
        let mut random = StdRng::seed_from_u64(rand::random());
        let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        loop {
            let mut last_snapshot = time::Instant::now();
            let result = self.load_snapshot(engine).and_then(|()| {
                backoff.reset();
                engine.stream_cache_events(|event| {
                    self.apply_event(engine, &event, &mut last_snapshot)
                })
            });
            match result {
                // A stream without events may have lost the last one, so a new snapshot
                // is loaded.
                Err(engine::EngineError::Stalled) => continue,
                Err(error) => trace::LogLine::new("cache_events_lost")
                    .with("error", error)
                    .debug(),
                Ok(()) => {}
            }
            self.update_mirror(CacheMirror::clear);
            thread::sleep(backoff.next_wait(&mut random));
        }
    }

    /// Replaces the mirror's content by a snapshot of the engine's cache.
    fn load_snapshot(&self, engine: &engine::EngineClient) -> Result<(), engine::EngineError> {
        metrics::counter!("hornbeampitch_cache_reads_total").increment(1);
        let content = engine.cache_snapshot()?;
        self.update_mirror(|mirror| {
            mirror.load_snapshot(content.seq, parse_hashes(&content.blocks))
        });
        Ok(())
    }

    /// Applies one event. If events before it are missing, loads a snapshot instead.
    /// Returns false if that fails and the stream must be opened again.
    fn apply_event(
        &self,
        engine: &engine::EngineClient,
        event: &engine::CacheEvent,
        last_snapshot: &mut time::Instant,
    ) -> bool {
        let event = CacheEvent {
            seq: event.seq,
            stored: parse_hashes(&event.stored),
            removed: parse_hashes(&event.removed),
        };
        let mut status = route::SyncStatus::InSync;
        self.update_mirror(|mirror| status = mirror.apply_event(&event));
        if status == route::SyncStatus::InSync {
            return true;
        }
        thread::sleep(SNAPSHOT_INTERVAL.saturating_sub(last_snapshot.elapsed()));
        *last_snapshot = time::Instant::now();
        self.load_snapshot(engine).is_ok()
    }

    /// Changes the mirror and publishes its shared blocks if they have changed.
    fn update_mirror(&self, update: impl FnOnce(&mut CacheMirror)) {
        let mut mirror = self.mirror.lock();
        update(&mut mirror);
        self.shared.send_if_modified(|shared| {
            let differs = shared != mirror.shared_blocks();
            if differs {
                shared.clone_from(mirror.shared_blocks());
            }
            differs
        });
    }

    /// Sends reports to one entry until it disconnects.
    pub(crate) async fn serve(
        &self,
        pending: server::PendingSubscriptionSink,
    ) -> core::SubscriptionResult {
        let sink = pending.accept().await?;
        let mut reporter = CacheReporter::default();
        let mut shared = self.shared.subscribe();
        loop {
            let report = reporter.next_report(&shared.borrow_and_update());
            if let Some(report) = report {
                sink.send(serde_json::value::to_raw_value(&report)?).await?;
            }
            tokio::select! {
                () = sink.closed() => return Ok(()),
                changed = shared.changed() => changed?,
            }
            tokio::time::sleep(COALESCE_DELAY).await;
        }
    }
}

/// Parses hexadecimal hashes; any that is not a 64-bit number is left out.
fn parse_hashes(hashes: &[String]) -> Vec<u64> {
    hashes
        .iter()
        .filter_map(|h| u64::from_str_radix(h, 16).ok())
        .collect()
}
