//! A model engine's cache events: published late, and not all of them.

use std::sync;
use std::time;
use tokio::sync::broadcast;

/// Events that wait for a slow reader before it misses some.
const WAITING: usize = 1_024;

/// The changes of one engine's cache, from its start to its end.
pub(crate) struct CacheLog {
    seq: sync::atomic::AtomicU64,
    events: broadcast::Sender<(time::Instant, engine::CacheEvent)>,
}

impl CacheLog {
    pub(crate) fn new() -> Self {
        Self {
            seq: sync::atomic::AtomicU64::new(0),
            events: broadcast::channel(WAITING).0,
        }
    }

    /// The last change that was made.
    pub(crate) fn seq(&self) -> u64 {
        self.seq.load(sync::atomic::Ordering::SeqCst)
    }

    /// Numbers a change and publishes it, but for each `gaps`-th.
    pub(crate) fn publish(&self, change: engine::CacheEvent, gaps: u64) {
        let seq = self.seq.fetch_add(1, sync::atomic::Ordering::SeqCst) + 1;
        if gaps > 0 && seq.is_multiple_of(gaps) {
            return;
        }
        // Nobody listening is no failure.
        let _ = self
            .events
            .send((time::Instant::now(), engine::CacheEvent { seq, ..change }));
    }

    /// Feeds a listener until it goes, each event a lag after it was made.
    pub(crate) async fn feed(&self, feed: &web::BodySender, lag: time::Duration) {
        let mut events = self.events.subscribe();
        loop {
            let event = tokio::select! {
                event = events.recv() => event,
                () = feed.closed() => return,
            };
            let (at, change) = match event {
                Ok(event) => event,
                Err(broadcast::error::RecvError::Lagged(_)) => continue,
                Err(broadcast::error::RecvError::Closed) => return,
            };
            tokio::time::sleep(lag.saturating_sub(at.elapsed())).await;
            let line = serde_json::to_string(&change).unwrap_or_default();
            if feed.send(format!("data: {line}\n\n").into()).await.is_err() {
                return;
            }
        }
    }
}
