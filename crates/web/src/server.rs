//! HTTP/1 server: its listener and its connections.

use crate::body::Body;
use crate::caller_stream::AnswerBody;
use crate::caller_stream::CallerRecord;
use crate::connection::CallerConnection;
use callers::Callers;
use callers::RecordedStream;
use callers::SocketPermit;
use hyper::body;
use hyper::body::Body as _;
use hyper::header;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use std::error;
use std::fmt;
use std::future;
use std::io;
use std::net;
use std::sync;
use std::time;
use tokio::net as aio;
use tokio::sync::watch;
use tokio::task;

/// The time within which a caller must send the head of a request.
const HEADER_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// The maximum size of the buffer that reads a request's head.
const MAX_HEADER_BYTES: usize = 32 * 1024;
/// The maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// How long a caller may go on sending a body after its request was answered.
const LINGER_TIME: time::Duration = time::Duration::from_secs(2);

/// The application that a [`Server`] serves.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request; returning `None` closes the connection without a response.
    ///
    /// The future is dropped when the caller disconnects.
    fn handle(
        &self,
        request: hyper::Request<body::Incoming>,
    ) -> impl future::Future<Output = Option<hyper::Response<Body>>> + Send;
}

/// A running server.
pub struct Server {
    /// The address on which the server listens.
    pub address: net::SocketAddr,
    /// Holds true once the server is to stop.
    stop: watch::Sender<bool>,
    accept_task: task::JoinHandle<()>,
    /// Fails once the server has stopped accepting and the last connection has closed.
    connections: watch::Receiver<()>,
}

impl Server {
    /// Binds the address and starts to serve requests, on as many connections as `callers`
    /// takes. Must be called in a Tokio runtime; fails if the address can't be bound.
    pub fn start<H: Handler>(
        address: net::SocketAddr,
        handler: H,
        callers: sync::Arc<Callers>,
    ) -> io::Result<Self> {
        let listener = callers::listen(address, BACKLOG)?;
        Self::start_on(listener, handler, Some(callers))
    }

    /// Starts to serve requests on a listener that is bound already; without `callers`, on any
    /// number of connections. Must be called in a Tokio runtime.
    pub fn start_on<H: Handler>(
        listener: net::TcpListener,
        handler: H,
        callers: Option<sync::Arc<Callers>>,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = aio::TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let (guard, connections) = watch::channel(());
        let handler = sync::Arc::new(handler);
        let accept_task = tokio::spawn(accept_connections(
            listener,
            handler,
            callers,
            stopped,
            sync::Arc::new(guard),
        ));
        Ok(Self {
            address,
            stop,
            accept_task,
            connections,
        })
    }

    /// Stops listening, waits for the requests in progress, and returns when the
    /// last connection has closed.
    pub async fn stop(mut self) {
        let _ = self.stop.send(true);
        let _ = (&mut self.accept_task).await;
        // Each connection holds the sender of this channel. When the last one
        // drops it, `changed` fails.
        while self.connections.changed().await.is_ok() {}
    }
}

async fn accept_connections<H: Handler>(
    listener: aio::TcpListener,
    handler: sync::Arc<H>,
    callers: Option<sync::Arc<Callers>>,
    mut stopped: watch::Receiver<bool>,
    connection_guard: sync::Arc<watch::Sender<()>>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, callers.as_ref()) => accepted,
            _ = stopped.changed() => return,
        };
        let Ok((stream, permit)) = accepted else {
            // File descriptors have run out or the caller has disconnected
            // already. Neither may end the server, so it retries after a pause.
            tokio::time::sleep(time::Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let callers = callers.clone();
        let stopped = stopped.clone();
        let connection_guard = connection_guard.clone();
        tokio::spawn(async move {
            serve_connection(stream, handler, callers, stopped).await;
            drop(permit);
            drop(connection_guard);
        });
    }
}

async fn accept(
    listener: &aio::TcpListener,
    callers: Option<&sync::Arc<Callers>>,
) -> io::Result<(aio::TcpStream, Option<SocketPermit>)> {
    match callers {
        Some(callers) => {
            let (stream, permit) = callers.accept(listener).await?;
            Ok((stream, Some(permit)))
        }
        None => Ok((listener.accept().await?.0, None)),
    }
}

/// Serves a new connection, if there is room for it.
async fn serve_connection<H: Handler>(
    mut stream: aio::TcpStream,
    handler: sync::Arc<H>,
    callers: Option<sync::Arc<Callers>>,
    stopped: watch::Receiver<bool>,
) {
    let connection = match callers {
        None => None,
        Some(callers) => match callers.admit(MAX_HEADER_BYTES).await {
            Some(slot) => Some(sync::Arc::new(CallerConnection::new(slot))),
            None => return,
        },
    };
    serve_requests(&mut stream, handler, connection.as_ref(), stopped).await;
    if connection.as_ref().is_some_and(|c| c.is_uploading()) {
        // A socket that is closed with unread bytes resets its connection, and the caller
        // loses the answer. Errors and the timeout end the connection all the same.
        let mut unread = tokio::io::sink();
        let discarded = tokio::io::copy(&mut stream, &mut unread);
        tokio::select! {
            _ = tokio::time::timeout(LINGER_TIME, discarded) => {}
            () = wait_for_close(connection.as_ref()) => {}
        }
    }
}

/// Returns once a connection is to be closed for another one.
async fn wait_for_close(connection: Option<&sync::Arc<CallerConnection>>) {
    match connection {
        Some(connection) => connection.slot().closed().await,
        None => future::pending().await,
    }
}

async fn serve_requests<H: Handler>(
    stream: &mut aio::TcpStream,
    handler: sync::Arc<H>,
    caller: Option<&sync::Arc<CallerConnection>>,
    mut stopped: watch::Receiver<bool>,
) {
    let service_caller = caller.cloned();
    let service = service::service_fn(move |request| {
        let answer = answer(handler.clone(), service_caller.clone(), request);
        async move { answer.await.ok_or(NoResponse) }
    });
    let stream = RecordedStream::new(stream, CallerRecord(caller.cloned()));
    let max_head_bytes = caller.map_or(MAX_HEADER_BYTES, |c| c.slot().head_bytes);
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(max_head_bytes)
        .serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut is_stopping = false;
    loop {
        tokio::select! {
            // A request that has arrived is read before its connection is closed.
            biased;
            // It fails if the caller disconnects or sends invalid HTTP.
            _ = connection.as_mut() => return,
            () = wait_for_close(caller) => return,
            _ = stopped.wait_for(|s| *s), if !is_stopping => {
                connection.as_mut().graceful_shutdown();
                is_stopping = true;
            }
        }
    }
}

/// Handles one request. If its body was left unread, the connection is closed afterwards.
async fn answer<H: Handler>(
    handler: sync::Arc<H>,
    caller: Option<sync::Arc<CallerConnection>>,
    mut request: hyper::Request<body::Incoming>,
) -> Option<hyper::Response<AnswerBody>> {
    if let Some(caller) = &caller {
        caller.begin_request(!request.body().is_end_stream());
        request.extensions_mut().insert(caller.clone());
    }
    let mut response = handler.handle(request).await?;
    if let Some(caller) = caller.as_ref().filter(|c| c.is_uploading()) {
        caller.refuse_upload();
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Some(response.map(|body| AnswerBody {
        body,
        connection: caller,
    }))
}

/// The error that makes `hyper` close a connection without a response.
#[derive(Debug)]
struct NoResponse;

impl fmt::Display for NoResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection is closed unanswered")
    }
}

impl error::Error for NoResponse {}
