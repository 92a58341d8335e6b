//! Responses as the client has them, and the way of their connections back to the pool.

use crate::body::collect_chunks;
use crate::client::Client;
use crate::client::Connection;
use crate::client::IdleConnection;
use crate::heads::StatusLineScan;
use http_body_util::BodyExt;
use hyper::body;
use std::net;
use std::rc;
use std::time;

/// How long an idle connection stays in the pool if its peer sends no keep-alive
/// timeout.
const DEFAULT_KEEP_ALIVE: time::Duration = time::Duration::from_secs(4);
/// The longest time that an idle connection stays in the pool, whatever its peer sends.
const MAX_KEEP_ALIVE: time::Duration = time::Duration::from_secs(3_600);
/// How much earlier than the peer's keep-alive timeout an idle connection leaves
/// the pool, since the peer's timer started earlier.
const KEEP_ALIVE_MARGIN: time::Duration = time::Duration::from_millis(700);
/// The maximum number of idle connections to one peer; others are closed when
/// their response is complete.
const MAX_IDLE_CONNECTIONS: usize = 40;

/// A response whose head has arrived and whose body is still to be read.
#[derive(Debug)]
pub struct ClientResponse {
    /// The status and the headers, as received.
    pub head: hyper::http::response::Parts,
    body: body::Incoming,
    /// Whether the body ends with its connection.
    is_unframed: bool,
    scan: StatusLineScan,
    lease: PoolLease,
    is_reused: bool,
}

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum BodyError {
    /// The connection broke, or the body is not framed as announced.
    #[display("the body is incomplete")]
    Broken,
    /// The body is a part of one response and the head of another.
    #[display("the body holds the head of another response")]
    Spliced,
}

/// Returns a connection to the pool once its response is complete. Dropped
/// earlier, it closes the connection.
#[derive(Debug)]
struct PoolLease {
    client: rc::Rc<Client>,
    peer: net::SocketAddr,
    connection: Option<Connection>,
    keep_alive: time::Duration,
}

impl ClientResponse {
    pub(crate) fn new(
        client: rc::Rc<Client>,
        peer: net::SocketAddr,
        connection: Connection,
        response: hyper::Response<body::Incoming>,
        is_reused: bool,
    ) -> Self {
        let (head, body) = response.into_parts();
        let headers = &head.headers;
        let is_framed = headers.contains_key(hyper::header::CONTENT_LENGTH)
            || headers.contains_key(hyper::header::TRANSFER_ENCODING);
        Self {
            is_unframed: !is_framed && !body::Body::is_end_stream(&body),
            lease: PoolLease {
                client,
                peer,
                connection: Some(connection),
                keep_alive: keep_alive(headers),
            },
            head,
            body,
            scan: StatusLineScan::default(),
            is_reused,
        }
    }

    /// Returns the next chunk of the body; `None` at its end.
    pub async fn next_chunk(&mut self) -> Option<Result<bytes::Bytes, BodyError>> {
        loop {
            match self.body.frame().await {
                None if self.is_spliced() => return Some(Err(BodyError::Spliced)),
                None => {
                    self.lease.return_connection();
                    return None;
                }
                Some(Err(_)) => return Some(Err(BodyError::Broken)),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) if !bytes.is_empty() => {
                        self.scan.add(&bytes);
                        return Some(Ok(bytes));
                    }
                    // Trailers and empty chunks are skipped.
                    Ok(_) | Err(_) => {}
                },
            }
        }
    }

    /// Returns whether the body, which has ended, is a part of one response and the head of
    /// another: it holds a status line, and bytes follow it that belong to no response. Where
    /// the body ends with its connection, they are in it.
    fn is_spliced(&self) -> bool {
        self.scan.is_found() && (self.is_unframed || self.lease.has_surplus())
    }

    /// Reads the whole body; returns `None` if it is not complete by `deadline`, its
    /// connection breaks or it is longer than `limit` bytes.
    pub async fn read_all(mut self, limit: usize, deadline: time::Instant) -> Option<bytes::Bytes> {
        collect_chunks(async || self.next_chunk().await, limit, deadline)
            .await
            .ok()
    }

    /// Returns whether the connection has carried an earlier request, to which this response
    /// may belong if the peer responds twice.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Makes the connection close after this response.
    pub fn close_connection(&mut self) {
        self.lease.keep_alive = time::Duration::ZERO;
    }

    /// Returns whether the peer announced neither a length nor chunks, so that the body
    /// ends with its connection.
    pub fn is_unframed(&self) -> bool {
        self.is_unframed
    }

    /// Returns the length of the body still to be read, in bytes; `None` if the peer
    /// did not announce it.
    pub fn content_length(&self) -> Option<u64> {
        body::Body::size_hint(&self.body).exact()
    }
}

impl PoolLease {
    fn has_surplus(&self) -> bool {
        let connection = self.connection.as_ref();
        connection.is_some_and(|c| c.has_surplus.get())
    }

    /// Returns the connection to the pool, or closes it if it can't be used again or
    /// the pool has enough idle connections to its peer.
    fn return_connection(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if connection.sender.is_closed() || self.keep_alive.is_zero() {
            return;
        }
        let mut pool = self.client.pool.borrow_mut();
        let idle = pool.entry(self.peer).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            let expires = time::Instant::now() + self.keep_alive;
            idle.push(IdleConnection {
                connection,
                expires,
            });
        }
    }
}

/// Returns how long a connection may stay in the pool after a response with these
/// headers; zero if the peer closes it.
fn keep_alive(headers: &hyper::HeaderMap) -> time::Duration {
    let text = |name| headers.get(name).and_then(|v| v.to_str().ok());
    let closes = text(hyper::header::CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close"));
    if closes {
        return time::Duration::ZERO;
    }
    let timeout_s = text(hyper::header::HeaderName::from_static("keep-alive"))
        .and_then(|v| v.split(',').find_map(|p| p.trim().strip_prefix("timeout=")))
        .and_then(|v| v.parse().ok());
    match timeout_s {
        Some(seconds) => time::Duration::from_secs(seconds)
            .min(MAX_KEEP_ALIVE)
            .saturating_sub(KEEP_ALIVE_MARGIN),
        None => DEFAULT_KEEP_ALIVE,
    }
}
