//! The listening side of a process.

use crate::link;
use crate::proof;
use jsonrpsee::server;
use std::future;
use std::io;
use std::net;
use std::pin;
use std::task;
use std::time;

const PING_INTERVAL: time::Duration = time::Duration::from_millis(500);
const PEER_SILENCE: time::Duration = time::Duration::from_millis(2_000);
const MAX_CONNECTIONS: u32 = 2_048;
const MAX_SUBSCRIPTIONS: u32 = 65_536;
const MESSAGE_BUFFER: u32 = 8_192;

/// A running server; peers are refused unless they prove the fleet's secret.
pub struct Server {
    /// Where the server listens.
    pub address: net::SocketAddr,
    handle: server::ServerHandle,
}

impl Server {
    /// Binds and serves `methods` until [`Server::stop`]; fails where the
    /// address is taken, which is how a host's single incarnation is ensured.
    pub async fn start(
        address: net::SocketAddr,
        secrets: proof::Secrets,
        methods: server::RpcModule<()>,
    ) -> io::Result<Self> {
        let ping = server::PingConfig::new()
            .ping_interval(PING_INTERVAL)
            .inactive_limit(PEER_SILENCE)
            .max_failures(1);
        let config = server::ServerConfig::builder()
            .ws_only()
            .enable_ws_ping(ping)
            .max_connections(MAX_CONNECTIONS)
            .max_subscriptions_per_connection(MAX_SUBSCRIPTIONS)
            .max_request_body_size(link::MESSAGE_BYTES)
            .max_response_body_size(link::MESSAGE_BYTES)
            .set_message_buffer_capacity(MESSAGE_BUFFER)
            .build();
        let gate = tower::ServiceBuilder::new().layer(tower::layer::layer_fn(move |inner| Gate {
            secrets: secrets.clone(),
            inner,
        }));
        let server = server::Server::builder()
            .set_config(config)
            .set_http_middleware(gate)
            .build(address)
            .await?;
        let address = server.local_addr()?;
        let handle = server.start(methods);
        Ok(Self { address, handle })
    }

    /// Stops listening and closes the connections.
    pub fn stop(&self) {
        // An error here says only that the server has stopped already.
        let _ = self.handle.stop();
    }
}

/// The time of day, as proofs carry it.
pub(crate) fn unix_now() -> time::Duration {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default()
}

/// Refuses handshakes without a valid proof.
#[derive(Clone)]
struct Gate<S> {
    secrets: proof::Secrets,
    inner: S,
}

impl<S, B> tower::Service<http::Request<B>> for Gate<S>
where
    S: tower::Service<http::Request<B>, Response = server::HttpResponse>,
    S::Future: Send + 'static,
    S::Error: Send + 'static,
{
    type Response = S::Response;
    type Error = S::Error;
    type Future =
        pin::Pin<Box<dyn future::Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut task::Context<'_>) -> task::Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: http::Request<B>) -> Self::Future {
        let proof = request
            .headers()
            .get(proof::HEADER)
            .and_then(|v| v.to_str().ok())
            .and_then(proof::Proof::parse);
        let known = proof.is_some_and(|p| self.secrets.verify(&p, unix_now()));
        if known {
            return Box::pin(self.inner.call(request));
        }
        let refusal = http::Response::builder()
            .status(http::StatusCode::FORBIDDEN)
            .body(server::HttpBody::empty())
            .expect("a status and an empty body make a response");
        Box::pin(future::ready(Ok(refusal)))
    }
}
