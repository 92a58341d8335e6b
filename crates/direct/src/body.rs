//! Bodies of answers to callers.

use bytes::Bytes;
use hyper::body;
use std::fmt;
use std::pin;
use std::task;
use tokio::sync::mpsc;

/// Pieces that wait for a slow caller before its upstream must wait.
const FEED_PIECES: usize = 32;

/// An answer's body: known whole, or fed as it comes.
#[derive(Debug)]
pub(crate) enum Body {
    /// Known whole.
    Whole(Option<Bytes>),
    /// Fed piece by piece; it must end with [`Piece::End`] to count as whole.
    Fed {
        /// Where the pieces come from.
        pieces: mpsc::Receiver<Piece>,
        /// What is still to come, where a length was named.
        left: Option<u64>,
        /// Whether the end has come.
        ended: bool,
    },
}

/// A part of a fed body.
#[derive(Debug)]
pub(crate) enum Piece {
    /// More bytes.
    Data(Bytes),
    /// The whole body has been sent.
    End,
}

/// The body broke off: the caller's connection must show it.
#[derive(Debug)]
pub(crate) struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Broken {}

impl Body {
    /// Makes a body that is fed; one whose feed is dropped early is broken.
    pub(crate) fn fed(length: Option<u64>) -> (mpsc::Sender<Piece>, Self) {
        let (feed, pieces) = mpsc::channel(FEED_PIECES);
        let body = Body::Fed {
            pieces,
            left: length,
            ended: false,
        };
        (feed, body)
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Body::Whole(Some(bytes))
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Body::Whole(bytes) => {
                let bytes = bytes.take().filter(|b| !b.is_empty());
                task::Poll::Ready(bytes.map(|b| Ok(body::Frame::data(b))))
            }
            Body::Fed { ended: true, .. } => task::Poll::Ready(None),
            Body::Fed {
                pieces,
                left,
                ended,
            } => match task::ready!(pieces.poll_recv(cx)) {
                Some(Piece::Data(bytes)) => {
                    *left = left.map(|l| l.saturating_sub(bytes.len() as u64));
                    task::Poll::Ready(Some(Ok(body::Frame::data(bytes))))
                }
                Some(Piece::End) => {
                    *ended = true;
                    task::Poll::Ready(None)
                }
                None => task::Poll::Ready(Some(Err(Broken))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Body::Fed { ended, .. } => *ended,
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Body::Whole(bytes) => {
                body::SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Body::Fed {
                left: Some(left), ..
            } => body::SizeHint::with_exact(*left),
            Body::Fed { left: None, .. } => body::SizeHint::default(),
        }
    }
}
