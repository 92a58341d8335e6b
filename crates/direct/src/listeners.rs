//! The entry's listeners: how many connections each has, and who connects.
//!
//! docs/PLATFORM.md, "Callers without limits", shows who reaches which.

use crate::meters;
use crate::peers::MAX_MESSAGE_BYTES;
use callers::CallerSlot;
use callers::Callers;
use callers::MemoryAccount;
use callers::ReceiveBuffer;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use std::convert;
use std::future;
use std::io;
use std::net;
use std::rc;
use std::sync::Arc;
use std::time;
use tokio::net as aio;

/// Name of the listener for callers.
const CALLERS: &str = "callers";
/// Connections for readiness probes, and the longest head of one in bytes.
const MAX_PROBES: usize = 32;
const MAX_PROBE_BYTES: usize = 16 * 1024;
/// Connections of metrics collectors, and the longest head of a scrape in bytes.
const MAX_SCRAPES: usize = 16;
const MAX_SCRAPE_BYTES: usize = 16 * 1024;
/// Part of the descriptors beyond those for files that connections of peers may take.
const PEER_SHARE: f64 = 0.15;
/// The fewest connections that peers may have.
const MIN_PEERS: usize = 16;
/// The longest head of a peer's message in bytes, and what is read of it at once.
const MAX_PEER_HEAD_BYTES: usize = 60 * 1024;
/// Longest wait for a head on a connection of a peer or a metrics collector. Peers close idle
/// connections sooner.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The connections of each listener.
#[derive(Debug)]
pub(crate) struct Listeners {
    pub(crate) callers: Arc<Callers>,
    pub(crate) probes: Arc<Callers>,
    pub(crate) scrapes: Arc<Callers>,
    pub(crate) peers: Arc<Callers>,
}

impl Listeners {
    /// Creates the tables of a process with these resources. What callers hold counts in the
    /// process's account; the other listeners have accounts of their own, so that a crowd of
    /// callers does not close them.
    pub(crate) fn new(resources: seam::ResourceLimits, memory: &Arc<MemoryAccount>) -> Self {
        let table = pool::CallerTable::new(resources.descriptors);
        let sockets = pool::socket_descriptors(resources.descriptors);
        let peers = ((sockets as f64 * PEER_SHARE) as usize).max(MIN_PEERS);
        let fixed = |name, connections, head_bytes, body_bytes| {
            Callers::with_limit(name, connections, head_bytes, body_bytes, count_closed)
        };
        Self {
            callers: Callers::new(CALLERS, table, memory, count_closed),
            probes: fixed("readiness", MAX_PROBES, MAX_PROBE_BYTES, 0),
            scrapes: fixed("metrics", MAX_SCRAPES, MAX_SCRAPE_BYTES, 0),
            peers: fixed("peers", peers, MAX_PEER_HEAD_BYTES, MAX_MESSAGE_BYTES),
        }
    }

    /// Takes the connection of a readiness probe, if there is room for it.
    pub(crate) async fn admit_probe(&self) -> Option<CallerSlot> {
        self.probes.admit(MAX_PROBE_BYTES).await
    }
}

fn count_closed(listener: &'static str, cause: &'static str) {
    match listener {
        CALLERS => meters::meters().callers_closed.add(cause, 1),
        other => meters::meters().connections_closed.add(other, 1),
    }
}

/// Binds a listener, whose port is free again as soon as the process has ended. Up to `backlog`
/// connections wait to be accepted.
pub(crate) fn listen(address: net::SocketAddr, backlog: u32) -> io::Result<aio::TcpListener> {
    aio::TcpListener::from_std(callers::listen(address, backlog)?)
}

/// Serves a connection of a peer; `handle` has its slot besides.
pub(crate) async fn serve_peer<F, B>(
    stream: aio::TcpStream,
    callers: &Arc<Callers>,
    handle: impl Fn(hyper::Request<Incoming>, rc::Rc<CallerSlot>) -> F,
) where
    F: future::Future<Output = hyper::Response<B>>,
    B: hyper::body::Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if ReceiveBuffer::Medium.set(&stream).is_ok() {
        serve_connection(stream, callers, MAX_PEER_HEAD_BYTES, handle).await;
    }
}

/// Serves a connection of a metrics collector.
pub(crate) async fn serve_scrapes<F, B>(
    stream: aio::TcpStream,
    callers: &Arc<Callers>,
    answer: impl Fn() -> F,
) where
    F: future::Future<Output = hyper::Response<B>>,
    B: hyper::body::Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    serve_connection(stream, callers, MAX_SCRAPE_BYTES, |_, _| answer()).await;
}

/// Serves a connection of a peer or a metrics collector until it ends or its place is given to
/// another one, if there is room for it.
async fn serve_connection<F, B>(
    stream: aio::TcpStream,
    callers: &Arc<Callers>,
    head_bytes: usize,
    handle: impl Fn(hyper::Request<Incoming>, rc::Rc<CallerSlot>) -> F,
) where
    F: future::Future<Output = hyper::Response<B>>,
    B: hyper::body::Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let Some(slot) = callers.admit(head_bytes).await else {
        return;
    };
    let slot = rc::Rc::new(slot);
    let service_slot = slot.clone();
    let service = service::service_fn(move |request| {
        let slot = service_slot.clone();
        slot.set_stage(pool::CallerStage::Uploading);
        let answer = handle(request, slot.clone());
        async move {
            let response = answer.await;
            // A peer that doesn't take it is as idle as one that has.
            slot.set_stage(pool::CallerStage::Idle);
            Ok::<_, convert::Infallible>(response)
        }
    });
    let served = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(slot.head_bytes)
        .serve_connection(rt::TokioIo::new(stream), service);
    tokio::select! {
        // A peer whose connection was lost connects again, and a failed scrape is repeated.
        _ = served => {}
        () = slot.closed() => {}
    }
}
