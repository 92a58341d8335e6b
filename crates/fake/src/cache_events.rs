//! Prefix cache events of a fake engine, published with a delay and with gaps.

use std::sync;
use std::time;
use tokio::sync::broadcast;

/// Number of changes buffered for a slow reader before it misses some.
const CHANNEL_CAPACITY: usize = 1_024;

/// Numbers and publishes the changes of one engine's prefix cache.
///
/// A restarted engine gets a new instance, so its sequence numbers begin at 1 again.
pub(crate) struct CacheEventLog {
    seq: sync::atomic::AtomicU64,
    sender: broadcast::Sender<(time::Instant, engine::CacheEvent)>,
}

impl CacheEventLog {
    pub(crate) fn new() -> Self {
        Self {
            seq: sync::atomic::AtomicU64::new(0),
            sender: broadcast::channel(CHANNEL_CAPACITY).0,
        }
    }

    /// Returns the sequence number of the last change; 0 before the first one.
    pub(crate) fn seq(&self) -> u64 {
        self.seq.load(sync::atomic::Ordering::SeqCst)
    }

    /// Assigns the next sequence number to a change and publishes it. Every
    /// `drop_every`-th change is withheld; with 0, all of them are published.
    pub(crate) fn publish(&self, change: engine::CacheEvent, drop_every: u64) {
        let seq = self.seq.fetch_add(1, sync::atomic::Ordering::SeqCst) + 1;
        if drop_every > 0 && seq.is_multiple_of(drop_every) {
            return;
        }
        // Sending fails only if nobody is subscribed, which is no error.
        let _ = self
            .sender
            .send((time::Instant::now(), engine::CacheEvent { seq, ..change }));
    }

    /// Sends the changes as server-sent events until the reader disconnects, each
    /// one `delay` after it was published.
    pub(crate) async fn stream_to(&self, body: &web::BodySender, delay: time::Duration) {
        let mut receiver = self.sender.subscribe();
        loop {
            let event = tokio::select! {
                event = receiver.recv() => event,
                () = body.closed() => return,
            };
            let (published_at, change) = match event {
                Ok(event) => event,
                Err(broadcast::error::RecvError::Lagged(_)) => continue,
                Err(broadcast::error::RecvError::Closed) => return,
            };
            tokio::time::sleep(delay.saturating_sub(published_at.elapsed())).await;
            let line = serde_json::to_string(&change).unwrap_or_default();
            if body.send(format!("data: {line}\n\n").into()).await.is_err() {
                return;
            }
        }
    }
}
