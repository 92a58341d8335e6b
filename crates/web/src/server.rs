//! The listener and its connections.

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

/// Most time that a caller may take over the head of a request.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Most bytes of a request's head.
const HEAD_BYTES: usize = 32 * 1024;

/// What answers requests. Its future is dropped when the caller goes.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; none closes the connection without an answer.
    fn handle(
        &self,
        request: hyper::Request<body::Incoming>,
    ) -> impl future::Future<Output = Option<hyper::Response<Body>>> + Send;
}

/// A listening server.
pub struct Server {
    /// Where it listens.
    pub address: net::SocketAddr,
    stop: watch::Sender<bool>,
    accept: task::JoinHandle<()>,
    open: watch::Receiver<()>,
}

impl Server {
    /// Binds and begins to answer; called in a runtime.
    pub fn start<H: Handler>(address: net::SocketAddr, handler: H) -> io::Result<Self> {
        Self::start_on(net::TcpListener::bind(address)?, handler)
    }

    /// Begins to answer on a port that is bound already; called in a runtime.
    pub fn start_on<H: Handler>(listener: net::TcpListener, handler: H) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = aio::TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let (guard, open) = watch::channel(());
        let handler = sync::Arc::new(handler);
        let accept = tokio::spawn(accept(listener, handler, stopped, sync::Arc::new(guard)));
        Ok(Self {
            address,
            stop,
            accept,
            open,
        })
    }

    /// Stops listening, lets every request in hand finish, and returns when
    /// the last connection has closed.
    pub async fn stop(mut self) {
        let _ = self.stop.send(true);
        let _ = (&mut self.accept).await;
        // The last connection drops the last sender, which ends this wait.
        while self.open.changed().await.is_ok() {}
    }
}

async fn accept<H: Handler>(
    listener: aio::TcpListener,
    handler: sync::Arc<H>,
    mut stopped: watch::Receiver<bool>,
    open: sync::Arc<watch::Sender<()>>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        let Ok((stream, _)) = accepted else {
            // Out of descriptors or a caller gone early: neither ends the server.
            tokio::time::sleep(time::Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let stopped = stopped.clone();
        let open = open.clone();
        tokio::spawn(async move {
            serve(stream, handler, stopped).await;
            drop(open);
        });
    }
}

async fn serve<H: Handler>(
    stream: aio::TcpStream,
    handler: sync::Arc<H>,
    mut stopped: watch::Receiver<bool>,
) {
    let service = service::service_fn(move |request| {
        let handler = handler.clone();
        async move { handler.handle(request).await.ok_or(HangUp) }
    });
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_BYTES)
        .serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // An error here is a caller that went or spoke no HTTP.
        _ = connection.as_mut() => return,
        _ = stopped.wait_for(|s| *s) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Ends a connection that gets no answer.
#[derive(Debug)]
struct HangUp;

impl fmt::Display for HangUp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection is closed unanswered")
    }
}

impl error::Error for HangUp {}
