//! HTTP/1 client with a connection pool, shared by all calls of a process.
//!
//! The client checks that a pooled connection is still open before it uses it, and
//! TCP keepalive probes detect silent peers. Dropping a call closes its connection
//! at once, so that the peer stops work whose result nobody reads. The client
//! belongs to one thread; see docs/PLATFORM.md, "Connections".

use crate::client_response::ClientResponse;
use crate::head_gate::GatedStream;
use crate::head_gate::HeadGate;
use callers::ReceiveBuffer;
use hyper::body;
use hyper::client::conn::http1;
use hyper_util::rt;
use std::cell;
use std::collections;
use std::future;
use std::io;
use std::net;
use std::rc;
use std::time;
use tokio::net as aio;
use tokio::task;

/// The timeout for opening a connection. A peer whose accept queue is full drops
/// the first packet, which TCP sends again only after a second.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// The silence after which the kernel sends the first keepalive probe.
const PROBE_DELAY: time::Duration = time::Duration::from_secs(1);
/// The time between two keepalive probes; the kernel counts in whole seconds.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// How long sent bytes may stay unacknowledged before the connection breaks, unless the
/// client is created with another time.
const DEFAULT_UNACKED: time::Duration = time::Duration::from_millis(1_500);

/// The maximum size of what is read of a response at once.
pub const MAX_BUFFER_BYTES: usize = 32 * 1024;
/// The most that the kernel holds of a response beside that.
pub const MAX_UNREAD_BYTES: usize = ReceiveBuffer::Medium.max_unread();
/// The maximum size of a response's head with the interim ones before it, up to one read.
const MAX_HEAD_BYTES: usize = 16 * 1024;

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
    pub(crate) pool: cell::RefCell<collections::HashMap<net::SocketAddr, Vec<IdleConnection>>>,
    /// How long sent bytes may stay unacknowledged before a connection breaks.
    max_unacked: time::Duration,
    /// The number of connections opened so far.
    connection_count: cell::Cell<u64>,
}

#[derive(Debug)]
pub(crate) struct IdleConnection {
    pub(crate) connection: Connection,
    pub(crate) expires: time::Instant,
}

#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: http1::SendRequest<FullBody>,
    /// The task that does the connection's I/O.
    driver: task::AbortHandle,
    gate: rc::Rc<HeadGate>,
    /// Whether the connection has ended with bytes that belong to no response.
    pub(crate) has_surplus: rc::Rc<cell::Cell<bool>>,
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    async fn send(
        &mut self,
        request: hyper::Request<FullBody>,
    ) -> Result<hyper::Response<body::Incoming>, SendFailure> {
        self.gate.expect_head(MAX_HEAD_BYTES);
        let response = tokio::select! {
            biased;
            response = self.sender.try_send_request(request) => response,
            () = self.gate.exhausted() => return Err(SendFailure::Lost),
        };
        self.gate.open();
        response.map_err(|mut error| match error.take_message() {
            Some(request) => SendFailure::Unsent(Box::new(request)),
            None => SendFailure::Lost,
        })
    }
}

/// Why a request got no head of a response on a connection.
enum SendFailure {
    /// The connection was closed before the request was sent.
    Unsent(Box<hyper::Request<FullBody>>),
    /// The request was sent, and the connection broke or can't be used any more.
    Lost,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
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
                Ok(Err(SendFailure::Unsent(unsent))) => request = *unsent,
                Ok(Err(SendFailure::Lost)) => return Err(CallError::ConnectionLost),
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
            Ok(Err(SendFailure::Unsent(_))) => Err(CallError::NotSent),
            Ok(Err(SendFailure::Lost)) => Err(CallError::ConnectionLost),
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
        let stream = tokio::time::timeout_at(deadline.into(), open(peer)).await;
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
        let (mut sender, mut driver) = handshake.map_err(|_| CallError::ConnectFailed)?;
        let has_surplus = rc::Rc::<cell::Cell<bool>>::default();
        let surplus = has_surplus.clone();
        let driver_task = task::spawn_local(async move {
            // The sender learns of a connection that ends, so the error isn't needed.
            let _ = future::poll_fn(|context| driver.poll_without_shutdown(context)).await;
            surplus.set(!driver.into_parts().read_buf.is_empty());
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
            has_surplus,
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
        Ok(ClientResponse::new(
            self.clone(),
            peer,
            connection,
            response,
            is_reused,
        ))
    }
}

/// Opens a connection with a bounded receive buffer: a peer may send faster than its response is
/// read.
async fn open(peer: net::SocketAddr) -> io::Result<aio::TcpStream> {
    let socket = match peer {
        net::SocketAddr::V4(_) => aio::TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => aio::TcpSocket::new_v6()?,
    };
    ReceiveBuffer::Medium.set(&socket)?;
    socket.connect(peer).await
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
