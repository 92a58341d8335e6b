//! Bodies of responses to callers.

use bytes::Bytes;
use hyper::body;
use std::fmt;
use std::pin;
use std::task;
use tokio::sync::mpsc;

/// Chunks that are buffered for a slow caller; once the buffer is full, reading
/// from the upstream host waits.
const CHANNEL_CAPACITY: usize = 32;

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
    /// More bytes of the body.
    Data(Bytes),
    /// End of the complete body.
    End,
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
    /// Creates a body that is sent through a channel. Dropping the sender
    /// before [`Chunk::End`] aborts the response.
    pub(crate) fn channel(length: Option<u64>) -> (mpsc::Sender<Chunk>, Self) {
        let (sender, chunks) = mpsc::channel(CHANNEL_CAPACITY);
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
                Some(Chunk::Data(bytes)) => {
                    *remaining = remaining.map(|l| l.saturating_sub(bytes.len() as u64));
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
