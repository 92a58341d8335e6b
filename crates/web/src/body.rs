//! Bodies: whole ones and ones that are fed piece by piece.

use http_body_util::BodyExt;
use hyper::body;
use std::convert;
use std::pin;
use std::task;
use tokio::sync::mpsc;

/// The body of any answer.
pub type Body = http_body_util::combinators::BoxBody<bytes::Bytes, convert::Infallible>;

/// Pieces that wait for a slow caller before the feeder must wait.
const FEED_PIECES: usize = 64;

/// Makes a body of known bytes.
pub fn full_body(bytes: impl Into<bytes::Bytes>) -> Body {
    http_body_util::Full::new(bytes.into()).boxed()
}

/// The sending half of a fed body.
pub type BodySender = mpsc::Sender<bytes::Bytes>;

/// Makes a body that ends when its feed is dropped. The feed closes when the
/// caller goes.
pub fn body_channel() -> (BodySender, Body) {
    let (feed, pieces) = mpsc::channel(FEED_PIECES);
    (feed, Fed { pieces }.boxed())
}

struct Fed {
    pieces: mpsc::Receiver<bytes::Bytes>,
}

impl body::Body for Fed {
    type Data = bytes::Bytes;
    type Error = convert::Infallible;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<bytes::Bytes>, convert::Infallible>>> {
        self.pieces
            .poll_recv(cx)
            .map(|piece| piece.map(|bytes| Ok(body::Frame::data(bytes))))
    }
}

/// Reads a caller's body up to `limit` bytes; gives none where it is longer
/// or breaks off.
pub async fn read_body(incoming: body::Incoming, limit: usize) -> Option<bytes::Bytes> {
    let limited = http_body_util::Limited::new(incoming, limit);
    let collected = limited.collect().await.ok()?;
    Some(collected.to_bytes())
}

/// Reads and forgets a body of up to `limit` bytes, so that a caller who sends
/// before it reads gets to see the refusal.
pub async fn discard_body(mut incoming: body::Incoming, limit: usize) {
    let mut read = 0;
    while let Some(Ok(frame)) = incoming.frame().await {
        read += frame.data_ref().map_or(0, bytes::Bytes::len);
        if read > limit {
            return;
        }
    }
}
