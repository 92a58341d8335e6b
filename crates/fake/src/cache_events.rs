//! Publishes the prefix cache events of a fake engine, with a delay and with gaps.

use std::sync;
use std::time;
use tokio::sync::broadcast;

/// Number of events buffered for a slow reader before it misses some.
const CHANNEL_CAPACITY: usize = 1_024;

/// Numbers the events of one engine's prefix cache and publishes them.
///
/// A restarted engine gets a new instance, so its sequence numbers begin at 1 again.
pub(crate) struct CacheEventPublisher {
    seq: sync::atomic::AtomicU64,
    sender: broadcast::Sender<(time::Instant, engine::CacheEvent)>,
}

impl CacheEventPublisher {
    pub(crate) fn new() -> Self {
        Self {
            seq: sync::atomic::AtomicU64::new(0),
            sender: broadcast::channel(CHANNEL_CAPACITY).0,
        }
    }

    /// Returns the sequence number of the last event; 0 before the first one.
    pub(crate) fn seq(&self) -> u64 {
        self.seq.load(sync::atomic::Ordering::SeqCst)
    }

    /// Assigns the next sequence number to an event and publishes it. Every
    /// `drop_every`-th event is dropped; with 0, all of them are published.
    pub(crate) fn publish(&self, event: engine::CacheEvent, drop_every: u64) {
        let seq = self.seq.fetch_add(1, sync::atomic::Ordering::SeqCst) + 1;
        if drop_every > 0 && seq.is_multiple_of(drop_every) {
            return;
        }
        // Sending fails only if nobody is subscribed, which is no error.
        let _ = self
            .sender
            .send((time::Instant::now(), engine::CacheEvent { seq, ..event }));
    }

    /// Sends the events, as server-sent events, until the reader disconnects. Each is
    /// sent `delay` after it was published.
    pub(crate) async fn stream_to(&self, body: &web::BodySender, delay: time::Duration) {
        let mut receiver = self.sender.subscribe();
        loop {
            let received = tokio::select! {
                received = receiver.recv() => received,
                () = body.closed() => return,
            };
            let (published_at, event) = match received {
                Ok(published) => published,
                Err(broadcast::error::RecvError::Lagged(_)) => continue,
                Err(broadcast::error::RecvError::Closed) => return,
            };
            tokio::time::sleep(delay.saturating_sub(published_at.elapsed())).await;
            let line = serde_json::to_string(&event).unwrap_or_default();
            if body.send(format!("data: {line}\n\n").into()).await.is_err() {
                return;
            }
        }
    }
}
