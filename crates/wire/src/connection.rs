//! Client connection to a peer process.

use crate::proof;
use jsonrpsee::ws_client;
use std::net;
use std::time;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// The timeout of a call. It must outlast a call of a plain service, whose own
/// deadline is set by its caller.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(120);
/// How often WebSocket pings are sent.
const PING_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// The silence of a peer after which the connection is closed.
const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);
/// The number of messages buffered for each subscription. It holds the whole token
/// stream of a request, so that a slow caller never stalls the other subscriptions
/// of the connection.
const MAX_BUFFERED_MESSAGES: usize = 16_384;
/// The maximum size of a message, which leaves room for the base64 body of a plain
/// call.
pub(crate) const MAX_MESSAGE_BYTES: u32 = 16 * 1024 * 1024;

/// An open connection to a peer, which closes when it is dropped.
pub type Connection = ws_client::WsClient;

/// The error of opening a connection or of a call over it.
pub type RpcError = jsonrpsee::core::ClientError;

/// Opens a connection, with a proof of the fleet secret in the handshake.
///
/// Fails if the peer can't be reached in time or rejects the proof.
pub async fn connect(
    address: net::SocketAddr,
    secrets: &proof::Secrets,
) -> Result<Connection, RpcError> {
    let mut headers = ws_client::HeaderMap::new();
    let proof = secrets.sign(crate::server::unix_now());
    if let Some(value) = proof.and_then(|p| p.header_value().parse().ok()) {
        headers.insert(proof::PROOF_HEADER, value);
    }
    let ping = ws_client::PingConfig::new()
        .ping_interval(PING_INTERVAL)
        .inactive_limit(PEER_TIMEOUT)
        .max_failures(1);
    ws_client::WsClientBuilder::new()
        .set_headers(headers)
        .connection_timeout(CONNECT_TIMEOUT)
        .request_timeout(CALL_TIMEOUT)
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .max_concurrent_requests(4_096)
        .max_buffer_capacity_per_subscription(MAX_BUFFERED_MESSAGES)
        .set_tcp_no_delay(true)
        .enable_ws_ping(ping)
        .build(format!("ws://{address}"))
        .await
}
