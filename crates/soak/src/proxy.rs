//! Loopback TCP proxy that delays, stalls or resets its connections.

use std::net;
use std::sync;
use std::time;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net as aio;
use tokio::runtime;
use tokio::sync::watch;

/// How a proxy forwards bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards them at once.
    Pass,
    /// Forwards each chunk after this time.
    Delay(time::Duration),
    /// Forwards bytes to the host, but holds back those from the host.
    StallReplies,
    /// Holds back all bytes and keeps connections open.
    StallAll,
    /// Closes all connections, also new ones.
    Reset,
}

/// Largest number of bytes forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// A running proxy in front of one host. Dropping it closes all connections.
pub struct Proxy {
    /// Address that the proxy listens on.
    pub address: net::SocketAddr,
    mode: watch::Sender<LinkMode>,
    runtime: sync::Mutex<Option<runtime::Runtime>>,
}

impl Proxy {
    /// Starts a proxy that listens on `address` and connects to `host`.
    pub fn start(address: net::SocketAddr, host: net::SocketAddr) -> Self {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime can be built");
        let (mode, modes) = watch::channel(LinkMode::Pass);
        let listener = net::TcpListener::bind(address).expect("the port is free");
        listener
            .set_nonblocking(true)
            .expect("the listener is a valid socket");
        runtime.spawn(accept(listener, host, modes));
        Self {
            address,
            mode,
            runtime: sync::Mutex::new(Some(runtime)),
        }
    }

    /// Sets how bytes are forwarded, also on open connections. Bytes that were held back
    /// are then forwarded.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if let Ok(mut runtime) = self.runtime.lock()
            && let Some(runtime) = runtime.take()
        {
            runtime.shutdown_background();
        }
    }
}

/// Accepts connections and forwards each to the host until either side closes or the mode
/// becomes [`LinkMode::Reset`].
async fn accept(
    listener: net::TcpListener,
    host: net::SocketAddr,
    modes: watch::Receiver<LinkMode>,
) {
    let listener = aio::TcpListener::from_std(listener).expect("the listener is a valid socket");
    while let Ok((caller, _)) = listener.accept().await {
        let modes = modes.clone();
        tokio::spawn(async move {
            let Ok(host) = aio::TcpStream::connect(host).await else {
                return;
            };
            let (from_caller, to_caller) = caller.into_split();
            let (from_host, to_host) = host.into_split();
            tokio::select! {
                () = forward(from_caller, to_host, modes.clone(), false) => {}
                () = forward(from_host, to_caller, modes.clone(), true) => {}
                () = wait_for_reset(modes) => {}
            }
        });
    }
}

async fn wait_for_reset(mut modes: watch::Receiver<LinkMode>) {
    // The wait fails only if the sender is dropped, and then the connection closes too.
    let _ = modes.wait_for(|mode| *mode == LinkMode::Reset).await;
}

/// Forwards bytes in one direction until either side closes.
async fn forward(
    mut from: aio::tcp::OwnedReadHalf,
    mut to: aio::tcp::OwnedWriteHalf,
    mut modes: watch::Receiver<LinkMode>,
    is_reply: bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(read @ 1..) = from.read(&mut chunk).await {
        let is_stalled = |mode: &LinkMode| {
            *mode == LinkMode::StallAll || (is_reply && *mode == LinkMode::StallReplies)
        };
        if modes.wait_for(|mode| !is_stalled(mode)).await.is_err() {
            return;
        }
        let mode = *modes.borrow();
        if let LinkMode::Delay(delay) = mode {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}
