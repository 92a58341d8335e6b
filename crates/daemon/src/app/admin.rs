//! HTTP server for operators: Prometheus metrics and the health check.

use crate::app::errors::StartError;
use callers::Callers;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use std::future;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use tokio::runtime;

/// Upper bounds of the histogram buckets, in seconds. They cover the range of
/// the classes' latency targets.
const BUCKET_BOUNDS_S: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 20.0,
];

/// Maximum number of connections. Beyond it, one that is in the way of others is closed.
const MAX_CONNECTIONS: usize = 16;
/// Longest head of a request in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The running admin server, which answers `/metrics` and `/health`.
pub(crate) struct AdminServer {
    healthy: sync::Arc<atomic::AtomicBool>,
}

/// Answers the requests of operators and load balancers.
struct AdminHandler {
    metrics: PrometheusHandle,
    healthy: sync::Arc<atomic::AtomicBool>,
}

impl AdminServer {
    /// Binds `address`, installs the global metrics recorder and serves
    /// requests on a separate thread. Fails if the address cannot be bound or
    /// the thread cannot be started.
    pub(crate) fn start(address: net::SocketAddr) -> Result<Self, StartError> {
        let recorder = PrometheusBuilder::new()
            .set_buckets(&BUCKET_BOUNDS_S)
            .map(|b| b.build_recorder())
            .map_err(|e| StartError::System(std::io::Error::other(e)))?;
        let handle = recorder.handle();
        // The recorder can only be set once per process. A second daemon in the
        // same process keeps using the first one's recorder.
        let _ = metrics::set_global_recorder(recorder);
        let healthy = sync::Arc::new(atomic::AtomicBool::new(true));
        let handler = AdminHandler {
            metrics: handle,
            healthy: healthy.clone(),
        };
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(StartError::System)?;
        let server = {
            let _context = runtime.enter();
            let callers = Callers::with_limit(
                "admin",
                MAX_CONNECTIONS,
                MAX_HEAD_BYTES,
                0,
                count_closed_connection,
            );
            web::Server::start(address, handler, callers)
                .map_err(|source| StartError::Listen { address, source })?
        };
        thread::Builder::new()
            .name("admin".into())
            .spawn(move || {
                let _server = server;
                runtime.block_on(future::pending::<()>());
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

/// Counts a connection that was closed or not taken for the sake of others.
pub(crate) fn count_closed_connection(listener: &'static str, cause: &'static str) {
    match listener {
        "callers" => {
            metrics::counter!("hornbeampitch_callers_closed_total", "cause" => cause).increment(1);
        }
        other => {
            metrics::counter!("hornbeampitch_connections_closed_total", "listener" => other)
                .increment(1);
        }
    }
}

impl web::Handler for AdminHandler {
    async fn handle(
        &self,
        request: web::Request<web::Incoming>,
    ) -> Option<web::Response<web::Body>> {
        let (status, text) = match request.uri().path() {
            "/metrics" => (200, self.metrics.render()),
            "/health" if self.healthy.load(atomic::Ordering::Relaxed) => (200, "ok\n".to_owned()),
            "/health" => (503, "draining\n".to_owned()),
            _ => (404, "only /metrics and /health are here\n".to_owned()),
        };
        let response = web::Response::builder()
            .status(status)
            // A load balancer's next check then finds out whether the port still listens.
            .header(web::header::CONNECTION, "close")
            .body(web::full_body(text))
            .expect("a response with a valid status can be built");
        Some(response)
    }
}
