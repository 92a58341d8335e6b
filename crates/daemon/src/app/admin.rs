//! The port for operators' tools, apart from callers and peers.

use crate::app::errors::StartError;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;

/// Histogram bounds, in seconds, around the targets that classes have.
const BUCKET_BOUNDS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 20.0,
];

/// Connections answered at a time; each holds a thread while it lasts.
const MAX_WORKERS: usize = 8;

/// The operators' port: metrics and health.
pub(crate) struct AdminServer {
    healthy: sync::Arc<atomic::AtomicBool>,
}

impl AdminServer {
    /// Binds the port and answers from a thread of its own.
    pub(crate) fn start(address: net::SocketAddr) -> Result<Self, StartError> {
        let listen_error = |source| StartError::Listen { address, source };
        // astra panics on a taken port; try it first for a clear error.
        drop(net::TcpListener::bind(address).map_err(listen_error)?);
        let server = astra::Server::bind(address);
        let recorder = PrometheusBuilder::new()
            .set_buckets(&BUCKET_BOUNDS)
            .map(|b| b.build_recorder())
            .map_err(|e| StartError::System(std::io::Error::other(e)))?;
        let handle = recorder.handle();
        // A second daemon in one process shares the first one's recorder.
        let _ = metrics::set_global_recorder(recorder);
        let healthy = sync::Arc::new(atomic::AtomicBool::new(true));
        let flag = healthy.clone();
        thread::Builder::new()
            .name("admin".into())
            .spawn(move || {
                let service = move |request: astra::Request, _info: astra::ConnectionInfo| {
                    respond(&request, &handle, flag.load(atomic::Ordering::Relaxed))
                };
                // It ends only with the process.
                let _ = server
                    .http1_keep_alive(false)
                    .max_workers(MAX_WORKERS)
                    .serve(service);
            })
            .map_err(StartError::System)?;
        Ok(Self { healthy })
    }

    /// Tells balancers to send nothing more.
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
        .expect("a known status makes a response")
}
