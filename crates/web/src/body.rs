//! Bodies of requests and responses: complete ones and streamed ones.

use http_body_util::BodyExt;
use hyper::body;
use std::convert;
use std::pin;
use std::task;
use std::time;
use tokio::sync::mpsc;

/// The body of a response of the server.
pub type Body = http_body_util::combinators::BoxBody<bytes::Bytes, convert::Infallible>;

/// The number of chunks that a streamed body holds for a slow caller before its
/// sender must wait.
const CHANNEL_CHUNKS: usize = 64;

/// Creates a body of known bytes.
pub fn full_body(bytes: impl Into<bytes::Bytes>) -> Body {
    http_body_util::Full::new(bytes.into()).boxed()
}

/// The sending half of a streamed body.
pub type BodySender = mpsc::Sender<bytes::Bytes>;

/// Creates a streamed body, which ends when its sender is dropped. The sender is
/// closed when the caller disconnects.
pub fn body_channel() -> (BodySender, Body) {
    let (sender, chunks) = mpsc::channel(CHANNEL_CHUNKS);
    (sender, ChannelBody { chunks }.boxed())
}

struct ChannelBody {
    chunks: mpsc::Receiver<bytes::Bytes>,
}

impl body::Body for ChannelBody {
    type Data = bytes::Bytes;
    type Error = convert::Infallible;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<bytes::Bytes>, convert::Infallible>>> {
        self.chunks
            .poll_recv(cx)
            .map(|chunk| chunk.map(|bytes| Ok(body::Frame::data(bytes))))
    }
}

/// Reads the body of a request; returns `None` if it is longer than `limit` bytes or
/// its connection breaks.
pub async fn read_body(incoming: body::Incoming, limit: usize) -> Option<bytes::Bytes> {
    let limited = http_body_util::Limited::new(incoming, limit);
    let collected = limited.collect().await.ok()?;
    Some(collected.to_bytes())
}

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError<E> {
    /// The deadline passed.
    TimedOut,
    /// A chunk could not be read.
    Broken(E),
    /// The body is longer than its limit; at least this many bytes.
    Oversized(usize),
    /// The process can't hold so many bytes more now.
    NoRoom(usize),
}

/// A body that is collected in pieces of a fixed size. One buffer that grows would be moved
/// again and again, and take twice its length each time.
#[derive(Debug, Default)]
pub struct CollectedBody {
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
    length: usize,
}

/// The size of a piece.
const SEGMENT_BYTES: usize = 64 * 1024;

/// Returns the memory in bytes that a [`CollectedBody`] takes for so many bytes in all.
pub fn collected_capacity(length: usize) -> usize {
    match length <= SEGMENT_BYTES {
        true => length.next_power_of_two(),
        false => length.next_multiple_of(SEGMENT_BYTES),
    }
}

impl CollectedBody {
    /// Returns the number of bytes that have been added.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Adds bytes to the end.
    pub fn add(&mut self, mut bytes: &[u8]) {
        self.length += bytes.len();
        while !bytes.is_empty() {
            if self.last.len() == SEGMENT_BYTES {
                self.full.push(std::mem::take(&mut self.last));
            }
            let (part, rest) = bytes.split_at(bytes.len().min(SEGMENT_BYTES - self.last.len()));
            self.reserve(self.last.len() + part.len());
            self.last.extend_from_slice(part);
            bytes = rest;
        }
    }

    /// Makes room for `length` bytes in the last piece; a short body takes little more than it
    /// needs.
    fn reserve(&mut self, length: usize) {
        if length > self.last.capacity() {
            let capacity = match self.full.is_empty() {
                true => collected_capacity(length),
                false => SEGMENT_BYTES,
            };
            self.last.reserve_exact(capacity - self.last.len());
        }
    }

    /// Returns all bytes in one piece.
    pub fn join(self) -> bytes::Bytes {
        if self.full.is_empty() {
            return self.last.into();
        }
        let mut all = Vec::with_capacity(self.length);
        for segment in self.full.into_iter().chain([self.last]) {
            all.extend_from_slice(&segment);
        }
        all.into()
    }
}

/// Collects the chunks that `next_chunk` returns until it returns `None`.
///
/// # Errors
///
/// Fails if the chunks do not end by `deadline`, one of them fails, or together they
/// are longer than `limit` bytes.
pub async fn collect_chunks<E>(
    next_chunk: impl AsyncFnMut() -> Option<Result<bytes::Bytes, E>>,
    limit: usize,
    deadline: time::Instant,
) -> Result<bytes::Bytes, ReadError<E>> {
    collect_held_chunks(next_chunk, limit, Some(deadline), async |_| true).await
}

/// Does the same as [`collect_chunks`], without a deadline if there is none, and asks `try_hold`
/// before it holds so many bytes in all.
///
/// # Errors
///
/// Fails also if `try_hold` returns false.
pub async fn collect_held_chunks<E>(
    mut next_chunk: impl AsyncFnMut() -> Option<Result<bytes::Bytes, E>>,
    limit: usize,
    deadline: Option<time::Instant>,
    mut try_hold: impl AsyncFnMut(usize) -> bool,
) -> Result<bytes::Bytes, ReadError<E>> {
    let mut collected = CollectedBody::default();
    loop {
        let chunk = match deadline {
            Some(deadline) => tokio::time::timeout_at(deadline.into(), next_chunk())
                .await
                .map_err(|_| ReadError::TimedOut)?,
            None => next_chunk().await,
        };
        match chunk {
            None => return Ok(collected.join()),
            Some(Err(error)) => return Err(ReadError::Broken(error)),
            Some(Ok(bytes)) if collected.length + bytes.len() > limit => {
                return Err(ReadError::Oversized(collected.length + bytes.len()));
            }
            Some(Ok(bytes)) if !try_hold(collected.length + bytes.len()).await => {
                return Err(ReadError::NoRoom(collected.length + bytes.len()));
            }
            Some(Ok(bytes)) => collected.add(&bytes),
        }
    }
}

/// Returns the next bytes of a request's body; trailers are skipped.
pub async fn next_data(
    incoming: &mut body::Incoming,
) -> Option<Result<bytes::Bytes, hyper::Error>> {
    loop {
        match incoming.frame().await?.map(body::Frame::into_data) {
            Ok(Ok(bytes)) => return Some(Ok(bytes)),
            Ok(Err(_)) => {}
            Err(error) => return Some(Err(error)),
        }
    }
}

/// Reads and discards up to `limit` bytes of a body, so that a caller that sends
/// its whole body before it reads receives an early error response.
pub async fn discard_body(mut incoming: body::Incoming, limit: usize) {
    let mut read_bytes = 0;
    while let Some(Ok(frame)) = incoming.frame().await {
        read_bytes += frame.data_ref().map_or(0, bytes::Bytes::len);
        if read_bytes > limit {
            return;
        }
    }
}
