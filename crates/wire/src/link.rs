//! A connection to one peer.

use crate::proof;
use jsonrpsee::ws_client;
use std::net;
use std::time;

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// A call may wait for a whole plain call, whose caller sets the real limit.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(120);
const PING_INTERVAL: time::Duration = time::Duration::from_millis(500);
const PEER_SILENCE: time::Duration = time::Duration::from_millis(2_000);
/// Holds a whole stream of one request, so that one slow caller never stalls
/// the connection that others share.
const STREAM_BUFFER: usize = 16_384;
/// Room for a plain call's body in base64.
pub(crate) const MESSAGE_BYTES: u32 = 16 * 1024 * 1024;

/// An open connection to a peer, closed when dropped.
pub type Connection = ws_client::WsClient;

/// Why a peer could not be reached.
pub type ConnectError = jsonrpsee::core::ClientError;

/// Opens links that carry the fleet's proof.
pub async fn connect(
    address: net::SocketAddr,
    secrets: &proof::Secrets,
) -> Result<Connection, ConnectError> {
    let mut headers = ws_client::HeaderMap::new();
    let proof = secrets.sign(crate::server::unix_now());
    if let Some(value) = proof.and_then(|p| p.text().parse().ok()) {
        headers.insert(proof::HEADER, value);
    }
    let ping = ws_client::PingConfig::new()
        .ping_interval(PING_INTERVAL)
        .inactive_limit(PEER_SILENCE)
        .max_failures(1);
    ws_client::WsClientBuilder::new()
        .set_headers(headers)
        .connection_timeout(CONNECT_TIMEOUT)
        .request_timeout(CALL_TIMEOUT)
        .max_request_size(MESSAGE_BYTES)
        .max_response_size(MESSAGE_BYTES)
        .max_concurrent_requests(4_096)
        .max_buffer_capacity_per_subscription(STREAM_BUFFER)
        .set_tcp_no_delay(true)
        .enable_ws_ping(ping)
        .build(format!("ws://{address}"))
        .await
}
