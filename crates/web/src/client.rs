//! A client with kept connections, one for all that a process calls.
//!
//! A kept connection that its peer has dropped is noticed before it is used, a
//! silent peer is noticed by probes of the kernel, and a call that is dropped
//! closes its connection at once, so that nothing goes on working for nobody.
//! It belongs to one thread; see docs/PLATFORM.md, "Connections".

use http_body_util::BodyExt;
use hyper::body;
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

/// How long a peer may take to accept a connection: a full queue of new
/// connections drops the first packet, which is sent again only after a second.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// How long a kept connection stays usable where its peer names no time.
const KEEP_DEFAULT: time::Duration = time::Duration::from_secs(4);
/// What is taken off the time that a peer names, since its clock started first.
const KEEP_MARGIN: time::Duration = time::Duration::from_millis(700);
/// Silence after which the kernel probes a peer.
const PROBE_AFTER: time::Duration = time::Duration::from_secs(1);
/// Time between two probes; the kernel counts whole seconds.
const PROBE_GAP: time::Duration = time::Duration::from_secs(1);
/// Probes without an answer after which the connection counts as broken.
const PROBES: u32 = 2;
/// How long bytes may wait for their acknowledgement.
const UNACKED_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Kept connections to one peer; more are closed when they fall idle.
const KEEP_MOST: usize = 40;

/// A body whose bytes are known.
pub type FullBody = http_body_util::Full<bytes::Bytes>;

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum CallError {
    /// Nothing was sent: the peer accepted no connection in time.
    #[display("no connection")]
    ConnectFailed,
    /// Nothing was sent: the kept connection had closed.
    #[display("the kept connection had closed")]
    NotSent,
    /// It was sent, and the connection broke before an answer.
    #[display("broken before an answer")]
    ConnectionLost,
    /// It was sent, and no answer came in the time given.
    #[display("no answer in time")]
    Timeout,
}

impl CallError {
    /// Tells whether the peer may have read the call.
    pub fn may_have_run(self) -> bool {
        matches!(self, CallError::ConnectionLost | CallError::Timeout)
    }
}

/// Kept connections, by the peer's address.
#[derive(Debug, Default)]
pub struct Client {
    idle: cell::RefCell<collections::HashMap<net::SocketAddr, Vec<Kept>>>,
    opened: cell::Cell<u64>,
}

#[derive(Debug)]
struct Kept {
    link: Link,
    until: time::Instant,
}

#[derive(Debug)]
struct Link {
    sender: http1::SendRequest<FullBody>,
    task: task::AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An answer whose body is still to be read.
#[derive(Debug)]
pub struct ClientResponse {
    /// The head, as it came.
    pub head: hyper::http::response::Parts,
    body: body::Incoming,
    home: Home,
}

/// Takes a connection back when its answer is whole.
#[derive(Debug)]
struct Home {
    client: rc::Rc<Client>,
    peer: net::SocketAddr,
    link: Option<Link>,
    keep: time::Duration,
}

impl Client {
    /// Begins without connections.
    pub fn new() -> rc::Rc<Self> {
        rc::Rc::new(Self::default())
    }

    /// Connections opened so far.
    pub fn connections_opened(&self) -> u64 {
        self.opened.get()
    }

    /// Sends a request and waits for the head of its answer until `by`.
    pub async fn call(
        self: &rc::Rc<Self>,
        peer: net::SocketAddr,
        request: hyper::Request<FullBody>,
        by: time::Instant,
    ) -> Result<ClientResponse, CallError> {
        let mut request = request;
        loop {
            let kept = self.take(peer);
            let fresh = kept.is_none();
            let mut link = match kept {
                Some(link) => link,
                None => self.connect(peer, by).await?,
            };
            let answered =
                tokio::time::timeout_at(by.into(), link.sender.try_send_request(request));
            match answered.await {
                Err(_) => return Err(CallError::Timeout),
                Ok(Ok(response)) => return Ok(self.answer(peer, link, response)),
                Ok(Err(mut fault)) => match fault.take_message() {
                    Some(unsent) if !fresh => request = unsent,
                    Some(_) => return Err(CallError::NotSent),
                    None => return Err(CallError::ConnectionLost),
                },
            }
        }
    }

    /// Drops the kept connections to a peer that has gone.
    pub fn close_idle(&self, peer: net::SocketAddr) {
        self.idle.borrow_mut().remove(&peer);
    }

    /// Drops kept connections that are too old or closed.
    pub fn prune_idle(&self) {
        let now = time::Instant::now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|k| k.until > now && !k.link.sender.is_closed());
            !kept.is_empty()
        });
    }

    fn take(&self, peer: net::SocketAddr) -> Option<Link> {
        let now = time::Instant::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&peer)?;
        let mut busy = Vec::new();
        let mut found = None;
        while let Some(one) = kept.pop() {
            if one.until <= now || one.link.sender.is_closed() {
                continue;
            }
            if one.link.sender.is_ready() {
                found = Some(one.link);
                break;
            }
            busy.push(one);
        }
        kept.extend(busy);
        found
    }

    async fn connect(&self, peer: net::SocketAddr, by: time::Instant) -> Result<Link, CallError> {
        let by = by.min(time::Instant::now() + CONNECT_TIMEOUT);
        let stream = tokio::time::timeout_at(by.into(), aio::TcpStream::connect(peer)).await;
        let stream = match stream {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => return Err(CallError::ConnectFailed),
        };
        if watch_silence(&stream).is_err() {
            return Err(CallError::ConnectFailed);
        }
        let shaken = http1::handshake(rt::TokioIo::new(stream)).await;
        let (mut sender, connection) = shaken.map_err(|_| CallError::ConnectFailed)?;
        // A connection that ends tells its sender; nothing else is to be done.
        let task = task::spawn_local(async move {
            let _ = connection.await;
        });
        self.opened.set(self.opened.get() + 1);
        let link_task = task.abort_handle();
        if sender.ready().await.is_err() {
            return Err(CallError::ConnectFailed);
        }
        Ok(Link {
            sender,
            task: link_task,
        })
    }

    fn answer(
        self: &rc::Rc<Self>,
        peer: net::SocketAddr,
        link: Link,
        response: hyper::Response<body::Incoming>,
    ) -> ClientResponse {
        let (head, body) = response.into_parts();
        let keep = keep_time(&head.headers);
        let home = Home {
            client: self.clone(),
            peer,
            link: Some(link),
            keep,
        };
        ClientResponse { head, body, home }
    }
}

impl ClientResponse {
    /// Gives the next bytes; none at the whole end.
    pub async fn next_chunk(&mut self) -> Option<Result<bytes::Bytes, hyper::Error>> {
        loop {
            match self.body.frame().await {
                None => {
                    self.home.give_back();
                    return None;
                }
                Some(Err(error)) => return Some(Err(error)),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) if !bytes.is_empty() => return Some(Ok(bytes)),
                    // Trailers and empty chunks carry nothing for the caller.
                    Ok(_) | Err(_) => {}
                },
            }
        }
    }

    /// Reads the whole body until `by`; none where it breaks off or is longer
    /// than `most` bytes.
    pub async fn read_all(mut self, most: usize, by: time::Instant) -> Option<bytes::Bytes> {
        let mut all = bytes::BytesMut::new();
        loop {
            let piece = tokio::time::timeout_at(by.into(), self.next_chunk())
                .await
                .ok()?;
            match piece {
                None => return Some(all.freeze()),
                Some(Err(_)) => return None,
                Some(Ok(bytes)) if all.len() + bytes.len() > most => return None,
                Some(Ok(bytes)) => all.extend_from_slice(&bytes),
            }
        }
    }

    /// The length that the peer has named, where it has.
    pub fn content_length(&self) -> Option<u64> {
        body::Body::size_hint(&self.body).exact()
    }
}

impl Home {
    fn give_back(&mut self) {
        let Some(link) = self.link.take() else {
            return;
        };
        if link.sender.is_closed() || self.keep.is_zero() {
            return;
        }
        let mut idle = self.client.idle.borrow_mut();
        let kept = idle.entry(self.peer).or_default();
        if kept.len() < KEEP_MOST {
            let until = time::Instant::now() + self.keep;
            kept.push(Kept { link, until });
        }
    }
}

/// How long a connection may be kept after an answer with these headers.
fn keep_time(headers: &hyper::HeaderMap) -> time::Duration {
    let text = |name| headers.get(name).and_then(|v| v.to_str().ok());
    let closes = text(hyper::header::CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close"));
    if closes {
        return time::Duration::ZERO;
    }
    let named = text(hyper::header::HeaderName::from_static("keep-alive"))
        .and_then(|v| v.split(',').find_map(|p| p.trim().strip_prefix("timeout=")))
        .and_then(|v| v.parse().ok());
    match named {
        Some(seconds) => time::Duration::from_secs(seconds).saturating_sub(KEEP_MARGIN),
        None => KEEP_DEFAULT,
    }
}

/// Has the kernel break connections whose peer is silent.
fn watch_silence(stream: &aio::TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_GAP)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}
