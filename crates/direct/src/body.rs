//! Bodies of responses to callers.

use bytes::Bytes;
use callers::HeldBytes;
use callers::MemoryAccount;
use hyper::body;
use std::fmt;
use std::pin;
use std::sync::Arc;
use std::sync::atomic;
use std::task;
use tokio::sync;
use tokio::sync::mpsc;

/// Chunks that are buffered for a slow caller; once the buffer is full, reading
/// from the upstream host waits.
const CHANNEL_CAPACITY: usize = 32;
/// Bytes that are buffered for a slow caller, unless one chunk alone is longer.
const CHANNEL_BYTES: usize = 128 * 1024;

/// Body of a response: complete, or received in chunks through a channel.
#[derive(Debug)]
pub(crate) enum Body {
    /// The complete body.
    Full(Option<Bytes>),
    /// Chunks from a channel. The body is complete only after [`Chunk::End`]; a
    /// channel that closes earlier aborts the response.
    Channel {
        /// Receiver of the chunks.
        chunks: mpsc::Receiver<Chunk>,
        /// Number of bytes still to come, if the response announced its length.
        remaining: Option<u64>,
        /// Whether [`Chunk::End`] has been received.
        ended: bool,
    },
}

/// A message of the channel that carries a body.
#[derive(Debug)]
pub(crate) enum Chunk {
    /// More bytes of the body, which are held until the connection has written them.
    Data(Bytes, QueuedBytes),
    /// End of the complete body.
    End,
}

/// The sending half of a body's channel. Dropping it before [`Self::end`] aborts the response.
#[derive(Debug)]
pub(crate) struct BodySender {
    chunks: mpsc::Sender<Chunk>,
    account: Arc<MemoryAccount>,
    queue: Arc<ChunkQueue>,
}

/// What is in the channel, or taken from it and not written.
#[derive(Debug, Default)]
struct ChunkQueue {
    bytes: atomic::AtomicUsize,
    /// Wakes the sender when a chunk has been written.
    taken: sync::Notify,
}

/// Bytes of a chunk until they are written; dropping them makes room.
#[derive(Debug)]
pub(crate) struct QueuedBytes {
    queue: Arc<ChunkQueue>,
    held: HeldBytes,
}

/// Bytes that the connection has taken and not written yet, which count until then.
struct TakenChunk {
    bytes: Bytes,
    _queued: QueuedBytes,
}

impl AsRef<[u8]> for TakenChunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for QueuedBytes {
    fn drop(&mut self) {
        let bytes = &self.queue.bytes;
        bytes.fetch_sub(self.held.bytes(), atomic::Ordering::Relaxed);
        self.queue.taken.notify_one();
    }
}

/// The caller has disconnected.
#[derive(Debug)]
pub(crate) struct CallerGone;

impl BodySender {
    /// Sends bytes, once the caller has taken enough of those before. While the process holds
    /// much, it has to take them all, so that callers that don't read hold little.
    pub(crate) async fn send(&self, bytes: Bytes) -> Result<(), CallerGone> {
        loop {
            let queued = self.queue.bytes.load(atomic::Ordering::Relaxed);
            let fits = queued + bytes.len() <= CHANNEL_BYTES;
            if queued == 0 || fits && self.account.has_room(bytes.len()) {
                break;
            }
            tokio::select! {
                () = self.queue.taken.notified() => {}
                () = self.chunks.closed() => return Err(CallerGone),
            }
        }
        let queued_bytes = &self.queue.bytes;
        queued_bytes.fetch_add(bytes.len(), atomic::Ordering::Relaxed);
        let queued = QueuedBytes {
            queue: self.queue.clone(),
            held: self.account.take(bytes.len()),
        };
        let sent = self.chunks.send(Chunk::Data(bytes, queued)).await;
        sent.map_err(|_| CallerGone)
    }

    /// Ends the body as complete. A caller that has disconnected does not learn of it.
    pub(crate) async fn end(&self) {
        let _ = self.chunks.send(Chunk::End).await;
    }

    /// Returns once the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.chunks.closed().await;
    }
}

/// The body ended before it was complete. The error makes hyper abort the
/// caller's connection, so that the caller notices.
#[derive(Debug)]
pub(crate) struct BodyAborted;

impl fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response was aborted before its end")
    }
}

impl std::error::Error for BodyAborted {}

impl Body {
    /// Creates a body that is sent through a channel, whose bytes are held in an account.
    pub(crate) fn channel(length: Option<u64>, account: &Arc<MemoryAccount>) -> (BodySender, Self) {
        let (sender, chunks) = mpsc::channel(CHANNEL_CAPACITY);
        let sender = BodySender {
            chunks: sender,
            account: account.clone(),
            queue: Arc::default(),
        };
        let body = Body::Channel {
            chunks,
            remaining: length,
            ended: false,
        };
        (sender, body)
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Body::Full(Some(bytes))
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, BodyAborted>>> {
        match self.get_mut() {
            Body::Full(bytes) => {
                let bytes = bytes.take().filter(|b| !b.is_empty());
                task::Poll::Ready(bytes.map(|b| Ok(body::Frame::data(b))))
            }
            Body::Channel { ended: true, .. } => task::Poll::Ready(None),
            Body::Channel {
                chunks,
                remaining,
                ended,
            } => match task::ready!(chunks.poll_recv(cx)) {
                Some(Chunk::Data(bytes, queued)) => {
                    *remaining = remaining.map(|l| l.saturating_sub(bytes.len() as u64));
                    let bytes = Bytes::from_owner(TakenChunk {
                        bytes,
                        _queued: queued,
                    });
                    task::Poll::Ready(Some(Ok(body::Frame::data(bytes))))
                }
                Some(Chunk::End) => {
                    *ended = true;
                    task::Poll::Ready(None)
                }
                None => task::Poll::Ready(Some(Err(BodyAborted))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Body::Channel { ended, .. } => *ended,
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Body::Full(bytes) => {
                body::SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Body::Channel {
                remaining: Some(remaining),
                ..
            } => body::SizeHint::with_exact(*remaining),
            Body::Channel {
                remaining: None, ..
            } => body::SizeHint::default(),
        }
    }
}
