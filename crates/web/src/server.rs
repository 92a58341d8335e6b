//! HTTP/1 server: its listener and its connections.

use crate::body::Body;
use hyper::body;
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
    /// Binds the address and starts to serve requests. Must be called in a Tokio
    /// runtime; fails if the address can't be bound.
    pub fn start<H: Handler>(address: net::SocketAddr, handler: H) -> io::Result<Self> {
        Self::start_on(net::TcpListener::bind(address)?, handler)
    }

    /// Starts to serve requests on a listener that is bound already. Must be
    /// called in a Tokio runtime.
    pub fn start_on<H: Handler>(listener: net::TcpListener, handler: H) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = aio::TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let (guard, connections) = watch::channel(());
        let handler = sync::Arc::new(handler);
        let accept_task = tokio::spawn(accept_connections(
            listener,
            handler,
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
    mut stopped: watch::Receiver<bool>,
    connection_guard: sync::Arc<watch::Sender<()>>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        let Ok((stream, _)) = accepted else {
            // File descriptors have run out or the caller has disconnected
            // already. Neither may end the server, so it retries after a pause.
            tokio::time::sleep(time::Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let stopped = stopped.clone();
        let connection_guard = connection_guard.clone();
        tokio::spawn(async move {
            serve_connection(stream, handler, stopped).await;
            drop(connection_guard);
        });
    }
}

async fn serve_connection<H: Handler>(
    stream: aio::TcpStream,
    handler: sync::Arc<H>,
    mut stopped: watch::Receiver<bool>,
) {
    let service = service::service_fn(move |request| {
        let handler = handler.clone();
        async move { handler.handle(request).await.ok_or(NoResponse) }
    });
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // It fails if the caller disconnects or sends invalid HTTP.
        _ = connection.as_mut() => return,
        _ = stopped.wait_for(|s| *s) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
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
