//! The listener, its connections, and the tasks of an entry.

use crate::admit;
use crate::entry::Entry;
use crate::feed;
use crate::measure;
use crate::orders;
use crate::peers;
use crate::reload;
use crate::stop;
use crate::stop::Signals;
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
const HEAD_BYTES: usize = 64 * 1024;
/// How often idle connections are looked at.
const SWEEP_GAP: time::Duration = time::Duration::from_millis(1_000);
/// The pause after a connection could not be accepted, as without descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// The port of the metrics' text, and its path, as the deploy file names them.
const METRICS_PORT: u16 = 9_464;

/// Serves until the process is told to stop and all requests are answered.
pub async fn run<P: seam::Platform>(entry: rc::Rc<Entry<P>>, signals: Signals) -> io::Result<()> {
    let meter = measure::start();
    let settings = entry.settings.clone();
    let (closing, closed) = watch::channel(false);
    let listener = listen(settings.listen)?;
    tokio::task::spawn_local(accept(entry.clone(), listener, closed.clone()));
    if let Some(ready) = settings.readiness_listen {
        let listener = listen(ready)?;
        tokio::task::spawn_local(accept(entry.clone(), listener, closed.clone()));
    }
    if let Some(meter) = meter {
        let address = net::SocketAddr::new(settings.ip, METRICS_PORT);
        match listen(address) {
            Ok(listener) => {
                tokio::task::spawn_local(serve_metrics(listener, meter));
            }
            Err(fault) => trace::Line::new("metrics_unheard")
                .with("fault", fault)
                .warn(),
        }
    }
    tokio::task::spawn_local(feed::follow_agreement(entry.clone()));
    tokio::task::spawn_local(feed::follow_members(entry.clone()));
    tokio::task::spawn_local(orders::give(entry.clone()));
    peers::start(entry.clone())?;
    tokio::task::spawn_local(sweep(entry.clone()));
    tokio::task::spawn_local(reload::follow(entry.clone()));
    stop::wait(&entry, signals, &closing).await
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
    since: cell::Cell<time::Instant>,
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
                tokio::task::spawn_local(converse(entry.clone(), stream, closed.clone()));
            }
            Err(fault) => {
                trace::Line::new("accept_failed")
                    .with("fault", fault)
                    .warn();
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn converse<P: seam::Platform>(
    entry: rc::Rc<Entry<P>>,
    stream: aio::TcpStream,
    mut closed: watch::Receiver<bool>,
) {
    let activity = rc::Rc::new(Activity {
        requests: cell::Cell::new(0),
        since: cell::Cell::new(time::Instant::now()),
    });
    let seen = activity.clone();
    let answering = entry.clone();
    let service = service::service_fn(move |request| {
        let (entry, seen) = (answering.clone(), seen.clone());
        async move {
            seen.requests.set(seen.requests.get() + 1);
            let mut answer = admit::answer(entry.clone(), request).await;
            if entry.stopping.get() {
                // Its caller's next request goes to another entry.
                let headers = answer.headers_mut();
                headers.insert(CONNECTION, http::HeaderValue::from_static("close"));
            }
            seen.requests.set(seen.requests.get() - 1);
            seen.since.set(time::Instant::now());
            Ok::<_, convert::Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(HEAD_BYTES)
        .serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    loop {
        let idle = entry
            .force()
            .map_or(seam::Limits::default(), |f| f.agreement.limits)
            .idle_timeout;
        tokio::select! {
            // An error is a caller that went, or an answer that broke off.
            _ = connection.as_mut() => return,
            _ = closed.wait_for(|c| *c) => break,
            () = tokio::time::sleep_until((activity.since.get() + idle).into()) => {
                let quiet = activity.since.get().elapsed() >= idle;
                if activity.requests.get() == 0 && quiet {
                    break;
                }
                if quiet {
                    activity.since.set(time::Instant::now());
                }
            }
        }
    }
    connection.as_mut().graceful_shutdown();
    // As above.
    let _ = connection.await;
}

async fn sweep<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    loop {
        tokio::time::sleep(SWEEP_GAP).await;
        seam::Upstreams::close_idle(&entry.upstreams);
        entry.links.sweep();
        entry.pools.note();
        entry.refresh();
    }
}

async fn serve_metrics(listener: aio::TcpListener, meter: PrometheusHandle) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let meter = meter.clone();
        let service = service::service_fn(move |_| {
            let text = meter.render();
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
