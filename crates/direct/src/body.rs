//! Bodies of answers to callers.

use bytes::Bytes;
use hyper::body;
use std::fmt;
use std::pin;
use std::task;
use tokio::sync::mpsc;

/// Pieces that wait for a slow caller before its upstream must wait.
const CHANNEL_CAPACITY: usize = 32;

/// An answer's body: known whole, or fed as it comes.
#[derive(Debug)]
pub(crate) enum Body {
    /// Known whole.
    Full(Option<Bytes>),
    /// Fed piece by piece; it must end with [`Piece::End`] to count as whole.
    Channel {
        /// Where the pieces come from.
        chunks: mpsc::Receiver<Chunk>,
        /// What is still to come, where a length was named.
        remaining: Option<u64>,
        /// Whether the end has come.
        ended: bool,
    },
}

/// A part of a fed body.
#[derive(Debug)]
pub(crate) enum Chunk {
    /// More bytes.
    Data(Bytes),
    /// The whole body has been sent.
    End,
}

/// The body broke off: the caller's connection must show it.
#[derive(Debug)]
pub(crate) struct BodyAborted;

impl fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for BodyAborted {}

impl Body {
    /// Makes a body that is fed; one whose feed is dropped early is broken.
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
