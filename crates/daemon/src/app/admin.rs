//! HTTP server for operators: Prometheus metrics and the health check.

use crate::app::errors::StartError;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;

/// Upper bounds of the histogram buckets, in seconds. They cover the range of
/// the classes' latency targets.
const BUCKET_BOUNDS_S: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 20.0,
];

/// Maximum number of connections answered at the same time. Each one occupies a
/// thread.
const MAX_WORKERS: usize = 8;

/// The running admin server, which answers `/metrics` and `/health`.
pub(crate) struct AdminServer {
    healthy: sync::Arc<atomic::AtomicBool>,
}

impl AdminServer {
    /// Binds `address`, installs the global metrics recorder and serves
    /// requests on a separate thread. Fails if the address cannot be bound or
    /// the thread cannot be started.
    pub(crate) fn start(address: net::SocketAddr) -> Result<Self, StartError> {
        let listen_error = |source| StartError::Listen { address, source };
        // `astra::Server` panics if the port is in use, so bind it once first
        // to return an error instead.
        drop(net::TcpListener::bind(address).map_err(listen_error)?);
        let server = astra::Server::bind(address);
        let recorder = PrometheusBuilder::new()
            .set_buckets(&BUCKET_BOUNDS_S)
            .map(|b| b.build_recorder())
            .map_err(|e| StartError::System(std::io::Error::other(e)))?;
        let handle = recorder.handle();
        // The recorder can only be set once per process. A second daemon in the
        // same process keeps using the first one's recorder.
        let _ = metrics::set_global_recorder(recorder);
        let healthy = sync::Arc::new(atomic::AtomicBool::new(true));
        let flag = healthy.clone();
        thread::Builder::new()
            .name("admin".into())
            .spawn(move || {
                let service = move |request: astra::Request, _info: astra::ConnectionInfo| {
                    respond(&request, &handle, flag.load(atomic::Ordering::Relaxed))
                };
                // `serve` does not return while the process runs.
                let _ = server
                    .http1_keep_alive(false)
                    .max_workers(MAX_WORKERS)
                    .serve(service);
            })
            .map_err(StartError::System)?;
        Ok(Self { healthy })
    }

    /// Makes `/health` answer 503, so that load balancers stop sending
    /// requests.
    pub(crate) fn mark_draining(&self) {
        self.healthy.store(false, atomic::Ordering::Relaxed);
    }
}

fn respond(request: &astra::Request, metrics: &PrometheusHandle, healthy: bool) -> astra::Response {
    let (status, text) = match request.uri().path() {
        "/metrics" => (200, metrics.render()),
        "/health" if healthy => (200, "ok\n".to_owned()),
        "/health" => (503, "draining\n".to_owned()),
        _ => (404, "only /metrics and /health are here\n".to_owned()),
    };
    astra::ResponseBuilder::new()
        .status(status)
        .body(astra::Body::new(text))
        .expect("a response with a valid status can be built")
}
