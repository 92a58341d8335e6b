//! HTTP/1 client with a connection pool, shared by all calls of a process.
//!
//! The client checks that a pooled connection is still open before it uses it, and
//! TCP keepalive probes detect silent peers. Dropping a call closes its connection
//! at once, so that the peer stops work whose result nobody reads. The client
//! belongs to one thread; see docs/PLATFORM.md, "Connections".

use crate::body::collect_chunks;
use crate::head_gate::GatedStream;
use crate::head_gate::HeadGate;
use http_body_util::BodyExt;
use hyper::body;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper_util::rt;
use std::cell;
use std::collections;
use std::io;
use std::net;
use std::rc;
use std::time;
use tokio::net as aio;
use tokio::task;

/// The timeout for opening a connection. A peer whose accept queue is full drops
/// the first packet, which TCP sends again only after a second.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// How long an idle connection stays in the pool if its peer sends no keep-alive
/// timeout.
const DEFAULT_KEEP_ALIVE: time::Duration = time::Duration::from_secs(4);
/// How much earlier than the peer's keep-alive timeout an idle connection leaves
/// the pool, since the peer's timer started earlier.
const KEEP_ALIVE_MARGIN: time::Duration = time::Duration::from_millis(700);
/// The silence after which the kernel sends the first keepalive probe.
const PROBE_DELAY: time::Duration = time::Duration::from_secs(1);
/// The time between two keepalive probes; the kernel counts in whole seconds.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// How long sent bytes may stay unacknowledged before the connection breaks, unless the
/// client is created with another time.
const DEFAULT_UNACKED: time::Duration = time::Duration::from_millis(1_500);
/// The maximum number of idle connections to one peer; others are closed when
/// their response is complete.
const MAX_IDLE_CONNECTIONS: usize = 40;

/// The maximum size of a response's head, and of what is read of its body at once.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// The body of a request: bytes that are known from the start.
pub type FullBody = http_body_util::Full<bytes::Bytes>;

/// Why a call got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum CallError {
    /// No connection could be opened in time, so nothing was sent.
    #[display("the connection failed")]
    ConnectFailed,
    /// The peer's host is up and nothing listens there, so nothing was sent.
    #[display("the connection was refused")]
    Refused,
    /// The connection was closed before the request was sent.
    #[display("the connection was closed before the request was sent")]
    NotSent,
    /// The request was sent and the connection broke before a response.
    #[display("the connection broke before a response")]
    ConnectionLost,
    /// No response came before the deadline; the request may have been sent.
    #[display("no response before the deadline")]
    Timeout,
}

impl CallError {
    /// Returns whether the peer may have read and run the call.
    pub fn may_have_run(self) -> bool {
        matches!(self, CallError::ConnectionLost | CallError::Timeout)
    }
}

/// The client, with its pool of idle connections by the address of the peer.
#[derive(Debug)]
pub struct Client {
    pool: cell::RefCell<collections::HashMap<net::SocketAddr, Vec<IdleConnection>>>,
    /// How long sent bytes may stay unacknowledged before a connection breaks.
    max_unacked: time::Duration,
    /// The number of connections opened so far.
    connection_count: cell::Cell<u64>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires: time::Instant,
}

#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<FullBody>,
    /// The task that does the connection's I/O.
    driver: task::AbortHandle,
    gate: rc::Rc<HeadGate>,
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    async fn send(
        &mut self,
        request: hyper::Request<FullBody>,
    ) -> Result<hyper::Response<body::Incoming>, TrySendError<hyper::Request<FullBody>>> {
        self.gate.expect_head(MAX_BUFFER_BYTES);
        let response = self.sender.try_send_request(request).await;
        self.gate.open();
        response
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A response whose head has arrived and whose body is still to be read.
#[derive(Debug)]
pub struct ClientResponse {
    /// The status and the headers, as received.
    pub head: hyper::http::response::Parts,
    body: body::Incoming,
    lease: PoolLease,
    is_reused: bool,
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

impl Client {
    /// Creates a client without connections.
    pub fn new() -> rc::Rc<Self> {
        Self::with_unacked(DEFAULT_UNACKED)
    }

    /// Creates a client without connections, for peers that may be sound although they
    /// acknowledge nothing for up to `max_unacked`.
    pub fn with_unacked(max_unacked: time::Duration) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            pool: cell::RefCell::default(),
            max_unacked,
            connection_count: cell::Cell::default(),
        })
    }

    /// Returns the number of connections opened so far.
    pub fn connections_opened(&self) -> u64 {
        self.connection_count.get()
    }

    /// Sends a request and waits until `deadline` for the head of its response.
    ///
    /// If a pooled connection turns out to be closed before the request was sent,
    /// another connection is used.
    pub async fn call(
        self: &rc::Rc<Self>,
        peer: net::SocketAddr,
        request: hyper::Request<FullBody>,
        deadline: time::Instant,
    ) -> Result<ClientResponse, CallError> {
        let mut request = request;
        while let Some(mut connection) = self.take_idle(peer) {
            let sent = connection.send(request);
            match tokio::time::timeout_at(deadline.into(), sent).await {
                Err(_) => return Err(CallError::Timeout),
                Ok(Ok(response)) => {
                    return self.client_response(peer, connection, response, true);
                }
                Ok(Err(mut error)) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(CallError::ConnectionLost),
                },
            }
        }
        self.call_on_new_connection(peer, request, deadline).await
    }

    /// Does the same as [`Self::call`] on a connection of its own, on which no response to
    /// an earlier request can come.
    pub async fn call_on_new_connection(
        self: &rc::Rc<Self>,
        peer: net::SocketAddr,
        request: hyper::Request<FullBody>,
        deadline: time::Instant,
    ) -> Result<ClientResponse, CallError> {
        let mut connection = self.connect(peer, deadline).await?;
        let sent = connection.send(request);
        match tokio::time::timeout_at(deadline.into(), sent).await {
            Err(_) => Err(CallError::Timeout),
            Ok(Ok(response)) => self.client_response(peer, connection, response, false),
            Ok(Err(mut error)) => match error.take_message() {
                Some(_) => Err(CallError::NotSent),
                None => Err(CallError::ConnectionLost),
            },
        }
    }

    /// Closes the idle connections to a peer.
    pub fn close_idle(&self, peer: net::SocketAddr) {
        self.pool.borrow_mut().remove(&peer);
    }

    /// Drops idle connections that have expired or were closed by their peer.
    pub fn prune_idle(&self) {
        let now = time::Instant::now();
        self.pool.borrow_mut().retain(|_, idle| {
            idle.retain(|i| i.expires > now && !i.connection.sender.is_closed());
            !idle.is_empty()
        });
    }

    /// Removes an idle connection to a peer that is ready for a request from the pool.
    fn take_idle(&self, peer: net::SocketAddr) -> Option<Connection> {
        let now = time::Instant::now();
        let mut pool = self.pool.borrow_mut();
        let idle = pool.get_mut(&peer)?;
        let mut busy = Vec::new();
        let mut found = None;
        while let Some(candidate) = idle.pop() {
            if candidate.expires <= now || candidate.connection.sender.is_closed() {
                continue;
            }
            if candidate.connection.sender.is_ready() {
                found = Some(candidate.connection);
                break;
            }
            busy.push(candidate);
        }
        idle.extend(busy);
        found
    }

    async fn connect(
        &self,
        peer: net::SocketAddr,
        deadline: time::Instant,
    ) -> Result<Connection, CallError> {
        let deadline = deadline.min(time::Instant::now() + CONNECT_TIMEOUT);
        let stream = tokio::time::timeout_at(deadline.into(), aio::TcpStream::connect(peer)).await;
        let stream = match stream {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(CallError::Refused);
            }
            Ok(Err(_)) | Err(_) => return Err(CallError::ConnectFailed),
        };
        if enable_keepalive(&stream, self.max_unacked).is_err() {
            return Err(CallError::ConnectFailed);
        }
        let gate = rc::Rc::<HeadGate>::default();
        let stream = rt::TokioIo::new(GatedStream::new(stream, gate.clone()));
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(stream)
            .await;
        let (mut sender, driver) = handshake.map_err(|_| CallError::ConnectFailed)?;
        // The sender learns of a connection that ends, so the error isn't needed.
        let driver_task = task::spawn_local(async move {
            let _ = driver.await;
        });
        self.connection_count.set(self.connection_count.get() + 1);
        let abort_handle = driver_task.abort_handle();
        if sender.ready().await.is_err() {
            return Err(CallError::ConnectFailed);
        }
        Ok(Connection {
            sender,
            driver: abort_handle,
            gate,
        })
    }

    fn client_response(
        self: &rc::Rc<Self>,
        peer: net::SocketAddr,
        connection: Connection,
        response: hyper::Response<body::Incoming>,
        is_reused: bool,
    ) -> Result<ClientResponse, CallError> {
        // No request asks for another protocol, so no response can follow.
        if response.status() == hyper::StatusCode::SWITCHING_PROTOCOLS {
            return Err(CallError::ConnectionLost);
        }
        let (head, body) = response.into_parts();
        let keep_alive = keep_alive(&head.headers);
        let lease = PoolLease {
            client: self.clone(),
            peer,
            connection: Some(connection),
            keep_alive,
        };
        Ok(ClientResponse {
            head,
            body,
            lease,
            is_reused,
        })
    }
}

impl ClientResponse {
    /// Returns the next chunk of the body; `None` at its end.
    pub async fn next_chunk(&mut self) -> Option<Result<bytes::Bytes, hyper::Error>> {
        loop {
            match self.body.frame().await {
                None => {
                    self.lease.return_connection();
                    return None;
                }
                Some(Err(error)) => return Some(Err(error)),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) if !bytes.is_empty() => return Some(Ok(bytes)),
                    // Trailers and empty chunks are skipped.
                    Ok(_) | Err(_) => {}
                },
            }
        }
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
        let headers = &self.head.headers;
        let is_framed = headers.contains_key(hyper::header::CONTENT_LENGTH)
            || headers.contains_key(hyper::header::TRANSFER_ENCODING);
        !is_framed && !body::Body::is_end_stream(&self.body)
    }

    /// Returns the length of the body still to be read, in bytes; `None` if the peer
    /// did not announce it.
    pub fn content_length(&self) -> Option<u64> {
        body::Body::size_hint(&self.body).exact()
    }
}

impl PoolLease {
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
        Some(seconds) => time::Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN),
        None => DEFAULT_KEEP_ALIVE,
    }
}

/// Makes the kernel break the connection if the peer acknowledges nothing for `max_unacked`,
/// rounded up to the next keepalive probe.
fn enable_keepalive(stream: &aio::TcpStream, max_unacked: time::Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let max_probes = max_unacked.as_millis().div_ceil(PROBE_INTERVAL.as_millis());
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_DELAY)
        .with_interval(PROBE_INTERVAL)
        .with_retries(u32::try_from(max_probes).unwrap_or(u32::MAX));
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(max_unacked))
}
