//! Listener, connections and background tasks of an entry.

use crate::caller;
use crate::entry::Entry;
use crate::listeners;
use crate::meters;
use crate::peers;
use crate::reload;
use crate::role_orders;
use crate::shutdown;
use crate::shutdown::Signals;
use crate::store_sync;
use crate::telemetry;
use callers::SocketPermit;
use metrics_exporter_prometheus::PrometheusHandle;
use std::io;
use std::net;
use std::rc;
use std::time;
use tokio::net as aio;
use tokio::sync::watch;

/// Interval of maintenance tasks such as closing idle connections.
const MAINTENANCE_INTERVAL: time::Duration = time::Duration::from_millis(1_000);
/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);
/// Maximum number of callers' connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// The same for readiness probes and scrapes.
const PROBE_BACKLOG: u32 = 32;
/// Port of the metrics endpoint, which the deployment file refers to.
const METRICS_PORT: u16 = 9_464;

/// Interval at which recorded times are added up, which bounds their memory between scrapes.
const UPKEEP_INTERVAL: time::Duration = time::Duration::from_secs(15);
/// Content type of the metrics.
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Runs the entry until the process is told to stop and all requests have been
/// answered, at most for the grace period. Returns an error if a listener for callers,
/// probes or peers can't be bound.
pub async fn run<P: seam::Platform>(entry: rc::Rc<Entry<P>>, signals: Signals) -> io::Result<()> {
    let metrics_handle = telemetry::install_recorder();
    // All counters are served from the start, with 0.
    meters::meters();
    let settings = entry.settings.clone();
    let (closing, closed) = watch::channel(false);
    let listener = listeners::listen(settings.listen, BACKLOG)?;
    tokio::task::spawn_local(accept(
        entry.clone(),
        listener,
        ListenerKind::Callers,
        closed.clone(),
    ));
    if let Some(ready) = settings.readiness_listen {
        let listener = listeners::listen(ready, PROBE_BACKLOG)?;
        tokio::task::spawn_local(accept(
            entry.clone(),
            listener,
            ListenerKind::Probes,
            closed.clone(),
        ));
    }
    if let Some(handle) = metrics_handle {
        tokio::task::spawn_local(keep_metrics(handle.clone()));
        let address = net::SocketAddr::new(settings.ip, METRICS_PORT);
        match listeners::listen(address, PROBE_BACKLOG) {
            Ok(listener) => {
                tokio::task::spawn_local(serve_metrics(entry.clone(), listener, handle));
            }
            Err(error) => trace::LogLine::new("metrics_listen_failed")
                .with("fault", error)
                .warn(),
        }
    }
    tokio::task::spawn_local(store_sync::watch_config(entry.clone()));
    tokio::task::spawn_local(store_sync::poll_members(entry.clone()));
    tokio::task::spawn_local(role_orders::run(entry.clone()));
    peers::start(entry.clone())?;
    tokio::task::spawn_local(run_maintenance(entry.clone()));
    tokio::task::spawn_local(reload::poll_settings(entry.clone()));
    shutdown::run_until_stopped(&entry, signals, &closing).await
}

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListenerKind {
    Callers,
    /// The platform, which asks whether the entry is ready.
    Probes,
}

/// Serves a new connection, if there is room for it.
async fn serve_connection<P: seam::Platform>(
    entry: rc::Rc<Entry<P>>,
    (stream, _permit): (aio::TcpStream, SocketPermit),
    kind: ListenerKind,
    closed: watch::Receiver<bool>,
) {
    let slot = match kind {
        ListenerKind::Probes => entry.listeners.admit_probe().await,
        ListenerKind::Callers => {
            let head_bytes = entry.limits().head_bytes;
            entry.listeners.callers.admit(head_bytes).await
        }
    };
    if let Some(slot) = slot {
        caller::serve(entry, stream, slot, closed).await;
    }
}

async fn accept<P: seam::Platform>(
    entry: rc::Rc<Entry<P>>,
    listener: aio::TcpListener,
    kind: ListenerKind,
    mut closed: watch::Receiver<bool>,
) {
    let connections = match kind {
        ListenerKind::Callers => entry.listeners.callers.clone(),
        ListenerKind::Probes => entry.listeners.probes.clone(),
    };
    loop {
        // After the process has begun to close, new connections are refused: a
        // request accepted now could not be answered within the grace period.
        let accepted = tokio::select! {
            accepted = connections.accept(&listener) => accepted,
            _ = closed.wait_for(|c| *c) => return,
        };
        match accepted {
            Ok(accepted) => {
                // Disables Nagle's algorithm, which would delay small chunks of
                // a stream.
                let _ = accepted.0.set_nodelay(true);
                let served = serve_connection(entry.clone(), accepted, kind, closed.clone());
                tokio::task::spawn_local(served);
            }
            Err(error) => {
                trace::LogLine::new("accept_failed")
                    .with("fault", error)
                    .warn();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn run_maintenance<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        seam::Upstreams::close_idle(&entry.upstreams);
        entry.peer_client.prune_idle();
        entry.pools.report_usage();
        entry.plain_services.report_waiting();
        entry.update_pools();
        entry.update_paces();
        entry.report_evacuations();
    }
}

async fn keep_metrics(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        handle.run_upkeep();
    }
}

async fn serve_metrics<P: seam::Platform>(
    entry: rc::Rc<Entry<P>>,
    listener: aio::TcpListener,
    handle: PrometheusHandle,
) {
    loop {
        let accepted = entry.listeners.scrapes.accept(&listener).await;
        let Ok((stream, permit)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (entry, handle) = (entry.clone(), handle.clone());
        tokio::task::spawn_local(async move {
            let scrape = async || metrics_response(&handle);
            listeners::serve_scrapes(stream, &entry.listeners.scrapes, scrape).await;
            drop(permit);
        });
    }
}

fn metrics_response(handle: &PrometheusHandle) -> hyper::Response<crate::body::Body> {
    let text = bytes::Bytes::from(handle.render());
    let mut response = hyper::Response::new(crate::body::Body::from(text));
    let content_type = http::HeaderValue::from_static(METRICS_TYPE);
    let headers = response.headers_mut();
    headers.insert(http::header::CONTENT_TYPE, content_type);
    response
}
