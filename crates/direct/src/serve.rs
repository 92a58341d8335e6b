//! The listener, its connections, and the tasks of an entry.

use crate::admit;
use crate::entry::Entry;
use crate::peers;
use crate::reload;
use crate::role_orders;
use crate::shutdown;
use crate::shutdown::Signals;
use crate::store_sync;
use crate::telemetry;
use http::header::CONNECTION;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use metrics_exporter_prometheus::PrometheusHandle;
use std::cell;
use std::convert;
use std::io;
use std::net;
use std::rc;
use std::time;
use tokio::net as aio;
use tokio::sync::watch;

/// Bytes of a head that are read before the configuration names a limit.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// How often idle connections are looked at.
const MAINTENANCE_INTERVAL: time::Duration = time::Duration::from_millis(1_000);
/// The pause after a connection could not be accepted, as without descriptors.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// The port of the metrics' text, and its path, as the deploy file names them.
const METRICS_PORT: u16 = 9_464;

/// Serves until the process is told to stop and all requests are answered.
pub async fn run<P: seam::Platform>(entry: rc::Rc<Entry<P>>, signals: Signals) -> io::Result<()> {
    let recorder = telemetry::install_recorder();
    let settings = entry.settings.clone();
    let (closing, closed) = watch::channel(false);
    let listener = listen(settings.listen)?;
    tokio::task::spawn_local(accept(entry.clone(), listener, closed.clone()));
    if let Some(ready) = settings.readiness_listen {
        let listener = listen(ready)?;
        tokio::task::spawn_local(accept(entry.clone(), listener, closed.clone()));
    }
    if let Some(recorder) = recorder {
        let address = net::SocketAddr::new(settings.ip, METRICS_PORT);
        match listen(address) {
            Ok(listener) => {
                tokio::task::spawn_local(serve_metrics(listener, recorder));
            }
            Err(error) => trace::Line::new("metrics_unheard")
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

/// Binds a listener whose port is free again as soon as its process has gone.
pub(crate) fn listen(address: net::SocketAddr) -> io::Result<aio::TcpListener> {
    let socket = aio::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// What a connection is doing, so that an idle one can be closed.
#[derive(Debug)]
struct Activity {
    requests: cell::Cell<u32>,
    last_active: cell::Cell<time::Instant>,
}

async fn accept<P: seam::Platform>(
    entry: rc::Rc<Entry<P>>,
    listener: aio::TcpListener,
    mut closed: watch::Receiver<bool>,
) {
    loop {
        // Once the process closes, whoever comes is turned away unread: what it
        // took now could not be answered within its grace.
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closed.wait_for(|c| *c) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                // Without it, small pieces of a stream would wait.
                let _ = stream.set_nodelay(true);
                tokio::task::spawn_local(serve_caller(entry.clone(), stream, closed.clone()));
            }
            Err(error) => {
                trace::Line::new("accept_failed")
                    .with("fault", error)
                    .warn();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_caller<P: seam::Platform>(
    entry: rc::Rc<Entry<P>>,
    stream: aio::TcpStream,
    mut closed: watch::Receiver<bool>,
) {
    let activity = rc::Rc::new(Activity {
        requests: cell::Cell::new(0),
        last_active: cell::Cell::new(time::Instant::now()),
    });
    let counted = activity.clone();
    let answering = entry.clone();
    let service = service::service_fn(move |request| {
        let (entry, counted) = (answering.clone(), counted.clone());
        async move {
            counted.requests.set(counted.requests.get() + 1);
            let mut response = admit::handle_request(entry.clone(), request).await;
            if entry.stopping.get() {
                // Its caller's next request goes to another entry.
                let headers = response.headers_mut();
                headers.insert(CONNECTION, http::HeaderValue::from_static("close"));
            }
            counted.requests.set(counted.requests.get() - 1);
            counted.last_active.set(time::Instant::now());
            Ok::<_, convert::Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    loop {
        let idle = entry
            .active_config()
            .map_or(seam::Limits::default(), |c| c.config.limits)
            .idle_timeout;
        tokio::select! {
            // An error is a caller that went, or an answer that broke off.
            _ = connection.as_mut() => return,
            _ = closed.wait_for(|c| *c) => break,
            () = tokio::time::sleep_until((activity.last_active.get() + idle).into()) => {
                let is_idle = activity.last_active.get().elapsed() >= idle;
                if activity.requests.get() == 0 && is_idle {
                    break;
                }
                if is_idle {
                    activity.last_active.set(time::Instant::now());
                }
            }
        }
    }
    connection.as_mut().graceful_shutdown();
    // As above.
    let _ = connection.await;
}

async fn run_maintenance<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        seam::Upstreams::close_idle(&entry.upstreams);
        entry.peer_client.sweep();
        entry.pools.log_usage();
        entry.update_pools();
    }
}

async fn serve_metrics(listener: aio::TcpListener, recorder: PrometheusHandle) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let recorder = recorder.clone();
        let service = service::service_fn(move |_| {
            let text = recorder.render();
            async move {
                let body = crate::body::Body::from(bytes::Bytes::from(text));
                Ok::<_, convert::Infallible>(hyper::Response::new(body))
            }
        });
        tokio::task::spawn_local(async move {
            let served = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service);
            // Whoever asks for metrics asks again.
            let _ = served.await;
        });
    }
}
