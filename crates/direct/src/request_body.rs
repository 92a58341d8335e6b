//! Reads the bodies of callers' requests, within what the process may hold.
//!
//! Answers bursts of large bodies: those that don't fit are refused before they are read, so
//! that the process goes on with the others.

use crate::held_bytes::HeldBody;
use crate::held_bytes::MemoryAccount;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body;
use hyper::body::Body as _;
use std::rc;
use std::time;

/// How long a body of an announced length waits for room. Its caller may give up on an entry
/// that reads nothing for a second.
const MAX_ROOM_WAIT: time::Duration = time::Duration::from_millis(250);
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
}

impl BodyError {
    /// Returns the status and the reason of the reply.
    pub(crate) fn reply(self) -> (StatusCode, &'static str) {
        match self {
            BodyError::Oversized => (StatusCode::PAYLOAD_TOO_LARGE, "body"),
            BodyError::Broken => (StatusCode::BAD_REQUEST, "body"),
            BodyError::NoRoom => (StatusCode::SERVICE_UNAVAILABLE, "no_room"),
        }
    }
}

/// Reads a body of up to `max_bytes` that fits into the account.
pub(crate) async fn read(
    incoming: body::Incoming,
    max_bytes: usize,
    account: &rc::Rc<MemoryAccount>,
) -> Result<HeldBody, BodyError> {
    let mut held = account.hold();
    if let Some(length) = incoming.size_hint().exact() {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if length > max_bytes {
            return Err(BodyError::Oversized);
        }
        // Nothing has been read, so that waiting takes no memory.
        if !held.grow(length, MAX_ROOM_WAIT).await {
            return Err(BodyError::NoRoom);
        }
    }
    let mut incoming = incoming;
    let next_chunk = async || {
        loop {
            match incoming.frame().await?.map(body::Frame::into_data) {
                Ok(Ok(bytes)) => return Some(Ok(bytes)),
                // Trailers are skipped.
                Ok(Err(_)) => {}
                Err(error) => return Some(Err(error)),
            }
        }
    };
    let collected = web::collect_held_chunks(next_chunk, max_bytes, None, |b| held.try_grow(b));
    let bytes = collected.await.map_err(|error| match error {
        web::ReadError::Oversized(_) => BodyError::Oversized,
        web::ReadError::NoRoom(_) => BodyError::NoRoom,
        web::ReadError::Broken | web::ReadError::TimedOut => BodyError::Broken,
    })?;
    Ok(HeldBody { bytes, held })
}
