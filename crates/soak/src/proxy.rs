//! A loopback proxy that harms what passes through it.

use std::net;
use std::sync;
use std::time;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net as aio;
use tokio::runtime;
use tokio::sync::watch;

/// How bytes pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// At once.
    Pass,
    /// Each piece after this time.
    Delay(time::Duration),
    /// Nothing comes back from the host; what is sent reaches it.
    StallReplies,
    /// Nothing passes, and nobody is told.
    StallAll,
    /// Connections are broken.
    Reset,
}

/// The largest piece that passes at once.
const PIECE_BYTES: usize = 16 * 1024;

/// A proxy before one host.
pub struct Proxy {
    /// Where it listens.
    pub address: net::SocketAddr,
    way: watch::Sender<LinkMode>,
    runtime: sync::Mutex<Option<runtime::Runtime>>,
}

impl Proxy {
    /// Starts a proxy before a host.
    pub fn start(address: net::SocketAddr, host: net::SocketAddr) -> Self {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime can be built");
        let (way, ways) = watch::channel(LinkMode::Pass);
        let listener = net::TcpListener::bind(address).expect("the port is free");
        listener.set_nonblocking(true).expect("it is a socket");
        runtime.spawn(accept(listener, host, ways));
        Self {
            address,
            way,
            runtime: sync::Mutex::new(Some(runtime)),
        }
    }

    /// Changes how bytes pass, also on open connections.
    pub fn set_mode(&self, way: LinkMode) {
        self.way.send_replace(way);
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

async fn accept(
    listener: net::TcpListener,
    host: net::SocketAddr,
    ways: watch::Receiver<LinkMode>,
) {
    let listener = aio::TcpListener::from_std(listener).expect("it is a socket");
    while let Ok((caller, _)) = listener.accept().await {
        let ways = ways.clone();
        tokio::spawn(async move {
            let Ok(host) = aio::TcpStream::connect(host).await else {
                return;
            };
            let (from_caller, to_caller) = caller.into_split();
            let (from_host, to_host) = host.into_split();
            tokio::select! {
                () = pass(from_caller, to_host, ways.clone(), false) => {}
                () = pass(from_host, to_caller, ways.clone(), true) => {}
                () = broken(ways) => {}
            }
        });
    }
}

async fn broken(mut ways: watch::Receiver<LinkMode>) {
    // The sender outlives the runtime's tasks.
    let _ = ways.wait_for(|w| *w == LinkMode::Reset).await;
}

async fn pass(
    mut from: aio::tcp::OwnedReadHalf,
    mut to: aio::tcp::OwnedWriteHalf,
    mut ways: watch::Receiver<LinkMode>,
    back: bool,
) {
    let mut piece = vec![0; PIECE_BYTES];
    while let Ok(read @ 1..) = from.read(&mut piece).await {
        let held =
            |way: &LinkMode| *way == LinkMode::StallAll || (back && *way == LinkMode::StallReplies);
        if ways.wait_for(|w| !held(w)).await.is_err() {
            return;
        }
        let way = *ways.borrow();
        if let LinkMode::Delay(time) = way {
            tokio::time::sleep(time).await;
        }
        if to.write_all(&piece[..read]).await.is_err() {
            return;
        }
    }
}
