//! JSON-RPC server of a process, which authenticates its peers.

use crate::connection;
use crate::proof;
use jsonrpsee::server;
use std::future;
use std::io;
use std::net;
use std::pin;
use std::task;
use std::time;

/// How often WebSocket pings are sent.
const PING_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// The silence of a peer after which its connection is closed.
const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);
const MAX_CONNECTIONS: u32 = 2_048;
/// The maximum number of subscriptions of one connection.
const MAX_SUBSCRIPTIONS: u32 = 65_536;
/// The number of outgoing messages buffered for each connection.
const MAX_BUFFERED_MESSAGES: u32 = 8_192;

/// A running server. It rejects peers that do not prove that they know the fleet
/// secret.
pub struct Server {
    /// The address on which the server listens.
    pub address: net::SocketAddr,
    handle: server::ServerHandle,
}

impl Server {
    /// Binds the address and serves `methods` until [`Server::stop`].
    ///
    /// Fails if the address is taken, which ensures that a host has a single running
    /// incarnation.
    pub async fn start(
        address: net::SocketAddr,
        secrets: proof::Secrets,
        methods: server::RpcModule<()>,
    ) -> io::Result<Self> {
        let ping = server::PingConfig::new()
            .ping_interval(PING_INTERVAL)
            .inactive_limit(PEER_TIMEOUT)
            .max_failures(1);
        let config = server::ServerConfig::builder()
            .ws_only()
            .enable_ws_ping(ping)
            .max_connections(MAX_CONNECTIONS)
            .max_subscriptions_per_connection(MAX_SUBSCRIPTIONS)
            .max_request_body_size(connection::MAX_MESSAGE_BYTES)
            .max_response_body_size(connection::MAX_MESSAGE_BYTES)
            .set_message_buffer_capacity(MAX_BUFFERED_MESSAGES)
            .build();
        let authentication =
            tower::ServiceBuilder::new().layer(tower::layer::layer_fn(move |inner| {
                Authentication {
                    secrets: secrets.clone(),
                    inner,
                }
            }));
        let server = server::Server::builder()
            .set_config(config)
            .set_http_middleware(authentication)
            .build(address)
            .await?;
        let address = server.local_addr()?;
        let handle = server.start(methods);
        Ok(Self { address, handle })
    }

    /// Stops listening and closes the connections.
    pub fn stop(&self) {
        // This fails only if the server has stopped already.
        let _ = self.handle.stop();
    }
}

/// Returns the time since the Unix epoch, as used in proofs.
pub(crate) fn unix_now() -> time::Duration {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default()
}

/// Middleware that rejects handshakes without a valid proof, with status 403.
#[derive(Clone)]
struct Authentication<S> {
    secrets: proof::Secrets,
    inner: S,
}

impl<S, B> tower::Service<http::Request<B>> for Authentication<S>
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
            .get(proof::PROOF_HEADER)
            .and_then(|v| v.to_str().ok())
            .and_then(proof::Proof::parse);
        let is_authenticated = proof.is_some_and(|p| self.secrets.verify(&p, unix_now()));
        if is_authenticated {
            return Box::pin(self.inner.call(request));
        }
        let rejection = http::Response::builder()
            .status(http::StatusCode::FORBIDDEN)
            .body(server::HttpBody::empty())
            .expect("a status and an empty body make a valid response");
        Box::pin(future::ready(Ok(rejection)))
    }
}
