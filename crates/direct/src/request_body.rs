//! Reads the bodies of callers' requests, within what the process may hold.
//!
//! Answers bursts of large bodies: those that don't fit are refused before they are read, so
//! that the process goes on with the others.

use crate::exchange::Exchange;
use callers::HeldBody;
use http::StatusCode;
use hyper::body;
use hyper::body::Body as _;
use std::time;

/// Delay after which a caller should retry whose body did not fit.
pub(crate) const ROOM_RETRY_DELAY: time::Duration = time::Duration::from_millis(400);

/// Why the body of a request was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than the configuration allows.
    Oversized,
    /// Its connection broke, or it is not framed as it should be.
    Broken,
    /// The process can't hold it now.
    NoRoom,
    /// It did not arrive in the time that its caller waits, or the caller paused for too long.
    Late,
}

/// What a caller may send, and how long it may take.
pub(crate) struct UploadLimits {
    /// Longest body in bytes.
    pub(crate) bytes: usize,
    /// Longest pause between two pieces of the body.
    pub(crate) pause: time::Duration,
    /// When the caller no longer waits for an answer, if it said so.
    pub(crate) deadline: Option<time::Instant>,
}

impl BodyError {
    /// Returns the status and the reason of the reply.
    pub(crate) fn reply(self) -> (StatusCode, &'static str) {
        match self {
            BodyError::Oversized => (StatusCode::PAYLOAD_TOO_LARGE, "body"),
            BodyError::Broken => (StatusCode::BAD_REQUEST, "body"),
            BodyError::Late => (StatusCode::REQUEST_TIMEOUT, "body_late"),
            BodyError::NoRoom => (StatusCode::SERVICE_UNAVAILABLE, "no_room"),
        }
    }
}

/// Reads a body within its limits that fits into the process's memory.
pub(crate) async fn read<P: seam::Platform>(
    incoming: body::Incoming,
    limits: &UploadLimits,
    exchange: &Exchange<P>,
) -> Result<HeldBody, BodyError> {
    let mut held = exchange.memory().hold();
    if let Some(length) = incoming.size_hint().exact() {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if length > limits.bytes {
            return Err(BodyError::Oversized);
        }
        // Nothing has been read, so that waiting takes no more than the receive buffer.
        if !exchange.hold_body(&mut held, length).await {
            return Err(BodyError::NoRoom);
        }
    }
    let mut incoming = incoming;
    let next_chunk = async || {
        let pause_end = time::Instant::now() + limits.pause;
        let end = limits.deadline.map_or(pause_end, |d| d.min(pause_end));
        let next = tokio::time::timeout_at(end.into(), web::next_data(&mut incoming)).await;
        match next {
            Ok(chunk) => chunk.map(|c| c.map_err(|_| BodyError::Broken)),
            Err(_) => Some(Err(BodyError::Late)),
        }
    };
    let try_hold = async |bytes| {
        let capacity = web::collected_capacity(bytes);
        exchange.hold_body(&mut held, capacity).await
    };
    let collected = web::collect_held_chunks(next_chunk, limits.bytes, None, try_hold);
    let bytes = collected.await.map_err(|error| match error {
        web::ReadError::Oversized(_) => BodyError::Oversized,
        web::ReadError::NoRoom(_) => BodyError::NoRoom,
        web::ReadError::Broken(error) => error,
        web::ReadError::TimedOut => BodyError::Late,
    })?;
    Ok(HeldBody { bytes, held })
}
