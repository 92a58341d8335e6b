//! Follows the engine's cache events and tells entries what is worth knowing.

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

/// Changes closer than this are told together.
const COALESCE: time::Duration = time::Duration::from_millis(200);
const RETRY_FIRST: time::Duration = time::Duration::from_millis(200);
const RETRY_MOST: time::Duration = time::Duration::from_secs(5);
/// A feed full of gaps is read whole no more often than this.
const READ_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Prompts that may wait to be noted; beyond, some go unnoted.
const PROMPTS: usize = 256;

type Shared = collections::BTreeSet<u64>;

/// What the engine has cached and several prompts began with.
#[derive(Clone)]
pub(crate) struct Cache {
    mirror: sync::Arc<Mutex<CacheMirror>>,
    told: watch::Sender<Shared>,
    prompts: channel::Sender<String>,
}

impl Cache {
    /// Starts the threads that follow the engine and note its prompts.
    pub(crate) fn start(model: engine::EngineClient) -> io::Result<Self> {
        let (prompts, asked) = channel::bounded(PROMPTS);
        let cache = Self {
            mirror: sync::Arc::default(),
            told: watch::channel(Shared::new()).0,
            prompts,
        };
        let follower = cache.clone();
        thread::Builder::new()
            .name("cache".into())
            .spawn(move || follower.follow(&model))?;
        let noter = cache.clone();
        thread::Builder::new()
            .name("prompts".into())
            .spawn(move || noter.note_prompts(&asked))?;
        Ok(cache)
    }

    /// Notes a prompt that goes to the engine.
    pub(crate) fn ask(&self, prompt: &str) {
        // Counting is a guess at the future; a burst may leave some out.
        let _ = self.prompts.try_send(prompt.to_owned());
    }

    fn note_prompts(&self, asked: &channel::Receiver<String>) {
        while let Ok(prompt) = asked.recv() {
            self.change(|mirror| mirror.record_prompt(&PrefixHashes::of_prompt(&prompt)));
        }
    }

    /// Follows the engine's events, for ever, with jittered waits between.
    fn follow(&self, model: &engine::EngineClient) {
        let mut random = StdRng::seed_from_u64(rand::random());
        let mut backoff = Backoff::new(RETRY_FIRST, RETRY_MOST);
        loop {
            let mut read = time::Instant::now();
            let ended = self.read(model).and_then(|()| {
                backoff.reset();
                model.stream_cache_events(|change| self.take(model, &change, &mut read))
            });
            match ended {
                // A quiet feed may have lost its last event; all is read again.
                Err(engine::EngineError::Stalled) => continue,
                Err(error) => trace::LogLine::new("cache_events_lost")
                    .with("error", error)
                    .debug(),
                Ok(()) => {}
            }
            self.change(CacheMirror::clear);
            thread::sleep(backoff.next_wait(&mut random));
        }
    }

    fn read(&self, model: &engine::EngineClient) -> Result<(), engine::EngineError> {
        metrics::counter!("hornbeampitch_cache_reads_total").increment(1);
        let content = model.cache_snapshot()?;
        self.change(|mirror| mirror.load_snapshot(content.seq, parse(&content.blocks)));
        Ok(())
    }

    /// Takes one change; gives false where the feed must be opened anew.
    fn take(
        &self,
        model: &engine::EngineClient,
        change: &engine::CacheEvent,
        read: &mut time::Instant,
    ) -> bool {
        let event = CacheEvent {
            seq: change.seq,
            stored: parse(&change.stored),
            removed: parse(&change.removed),
        };
        let mut sync = route::SyncStatus::InSync;
        self.change(|mirror| sync = mirror.apply_event(&event));
        if sync == route::SyncStatus::InSync {
            return true;
        }
        thread::sleep(READ_INTERVAL.saturating_sub(read.elapsed()));
        *read = time::Instant::now();
        self.read(model).is_ok()
    }

    fn change(&self, change: impl FnOnce(&mut CacheMirror)) {
        let mut mirror = self.mirror.lock();
        change(&mut mirror);
        self.told.send_if_modified(|told| {
            let differs = told != mirror.shared_blocks();
            if differs {
                told.clone_from(mirror.shared_blocks());
            }
            differs
        });
    }

    /// Serves one subscription until its entry goes.
    pub(crate) async fn report(
        &self,
        pending: server::PendingSubscriptionSink,
    ) -> core::SubscriptionResult {
        let sink = pending.accept().await?;
        let mut reporter = CacheReporter::default();
        let mut told = self.told.subscribe();
        loop {
            let report = reporter.next_report(&told.borrow_and_update());
            if let Some(report) = report {
                sink.send(serde_json::value::to_raw_value(&report)?).await?;
            }
            tokio::select! {
                () = sink.closed() => return Ok(()),
                changed = told.changed() => changed?,
            }
            tokio::time::sleep(COALESCE).await;
        }
    }
}

/// Reads hashes; one that is none of ours is left out.
fn parse(hashes: &[String]) -> Vec<u64> {
    hashes
        .iter()
        .filter_map(|h| u64::from_str_radix(h, 16).ok())
        .collect()
}
