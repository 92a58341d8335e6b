//! Client of a model engine.

use crate::errors::EngineError;
use crate::message;
use std::io;
use std::io::BufRead;
use std::net;
use std::time;

/// The timeout for opening a connection to the engine.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// A stream that sends no token for this long counts as stalled.
const TOKEN_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// The timeout of a prefill, which may be queued behind others in the engine.
const PREFILL_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// The timeout of a KV-cache import. The engine drops an exported cache within a
/// second, so a longer transfer can't succeed.
const IMPORT_TIMEOUT: time::Duration = time::Duration::from_millis(900);
/// A stream of cache events that is silent for this long fails, so that the
/// caller opens it again.
const CACHE_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// The timeout of control calls, which an engine answers at once.
const CONTROL_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// An HTTP client of one engine.
#[derive(Clone)]
pub struct EngineClient {
    agent: ureq::Agent,
    base_url: String,
}

impl EngineClient {
    /// Creates a client, which connects with its first call.
    pub fn new(address: net::SocketAddr) -> Self {
        let agent = ureq::Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .max_idle_connections_per_host(32)
            .no_delay(true)
            .build()
            .new_agent();
        Self {
            agent,
            base_url: format!("http://{address}"),
        }
    }

    /// Prefills a prompt; blocks until its KV cache can be imported.
    pub fn prefill(
        &self,
        request: &message::PrefillRequest,
    ) -> Result<message::PrefillResult, EngineError> {
        self.post("/kv/prefill", request, PREFILL_TIMEOUT)
    }

    /// Imports the KV cache of a prefill; blocks until it has arrived.
    pub fn import(&self, request: &message::ImportRequest) -> Result<(), EngineError> {
        let _: serde_json::Value = self.post("/kv/import", request, IMPORT_TIMEOUT)?;
        Ok(())
    }

    /// Passes the events of an answer to `sink` until the answer is complete. Fails
    /// with [`EngineError::Cancelled`] once `sink` returns false.
    pub fn stream(
        &self,
        request: &message::StreamRequest,
        mut sink: impl FnMut(message::StreamEvent) -> bool,
    ) -> Result<(), EngineError> {
        let response = self
            .agent
            .post(format!("{}/v1/completions", self.base_url))
            .config()
            .timeout_recv_response(Some(TOKEN_TIMEOUT))
            .timeout_per_read(Some(TOKEN_TIMEOUT))
            .build()
            .send_json(request)
            .map_err(EngineError::from_http)?;
        if response.status() != 200 {
            return Err(EngineError::from_status(response.status().as_u16()));
        }
        read_event_stream(response, &mut sink)
    }

    /// Passes changes of the prefix cache to `sink` until the stream ends. Fails with
    /// [`EngineError::Cancelled`] once `sink` returns false.
    pub fn stream_cache_events(
        &self,
        mut sink: impl FnMut(message::CacheEvent) -> bool,
    ) -> Result<(), EngineError> {
        let response = self
            .agent
            .get(format!("{}/cache/events", self.base_url))
            .config()
            .timeout_recv_response(Some(CONTROL_TIMEOUT))
            .timeout_per_read(Some(CACHE_IDLE_TIMEOUT))
            .build()
            .call()
            .map_err(EngineError::from_http)?;
        if response.status() != 200 {
            return Err(EngineError::from_status(response.status().as_u16()));
        }
        read_event_stream(response, &mut sink)
    }

    /// Reads the current content of the prefix cache.
    pub fn cache_snapshot(&self) -> Result<message::CacheSnapshot, EngineError> {
        self.get("/cache")
    }

    /// Cancels a request and frees all it holds at the engine. Idempotent.
    pub fn cancel(&self, request: &str) -> Result<(), EngineError> {
        let body = serde_json::json!({ "request": request });
        let _: serde_json::Value = self.post("/cancel", &body, CONTROL_TIMEOUT)?;
        Ok(())
    }

    /// Lists the requests that the engine holds.
    pub fn running_requests(&self) -> Result<message::RunningRequests, EngineError> {
        self.get("/running")
    }

    /// Reads the load that the engine reports.
    pub fn load(&self) -> Result<message::LoadReport, EngineError> {
        self.get("/load")
    }

    /// Sends a control order.
    pub fn send_order(&self, order: &message::Order) -> Result<(), EngineError> {
        let _: serde_json::Value = self.post("/orders", order, CONTROL_TIMEOUT)?;
        Ok(())
    }

    /// Posts a JSON body and decodes the JSON response.
    fn post<Request, Response>(
        &self,
        path: &str,
        body: &Request,
        timeout: time::Duration,
    ) -> Result<Response, EngineError>
    where
        Request: serde::Serialize,
        Response: serde::de::DeserializeOwned,
    {
        let response = self
            .agent
            .post(format!("{}{path}", self.base_url))
            .config()
            .timeout_global(Some(timeout))
            .build()
            .send_json(body)
            .map_err(EngineError::from_http)?;
        decode_response(response)
    }

    /// Makes a GET control call and decodes the JSON response.
    fn get<Response: serde::de::DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Response, EngineError> {
        let response = self
            .agent
            .get(format!("{}{path}", self.base_url))
            .config()
            .timeout_global(Some(CONTROL_TIMEOUT))
            .build()
            .call()
            .map_err(EngineError::from_http)?;
        decode_response(response)
    }
}

/// Passes each server-sent event of a response to `sink` until `[DONE]`, or
/// fails with [`EngineError::Cancelled`] once `sink` returns false.
fn read_event_stream<T: serde::de::DeserializeOwned>(
    response: ureq::http::Response<ureq::Body>,
    sink: &mut impl FnMut(T) -> bool,
) -> Result<(), EngineError> {
    let body = response.into_body().into_with_config().limit(u64::MAX);
    let mut lines = io::BufReader::new(body.reader());
    let mut line = String::new();
    loop {
        line.clear();
        let result = lines.read_line(&mut line);
        let line_bytes = result.map_err(|e| EngineError::from_io(&e))?;
        if line_bytes == 0 {
            return Err(EngineError::ConnectionLost("the stream broke off".into()));
        }
        let Some(data) = line.trim().strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return Ok(());
        }
        let event = serde_json::from_str(data)
            .map_err(|e| EngineError::ConnectionLost(format!("a broken line: {e}")))?;
        if !sink(event) {
            return Err(EngineError::Cancelled);
        }
    }
}

/// Decodes the JSON body of a response, or its status if that is not 200.
fn decode_response<Response: serde::de::DeserializeOwned>(
    mut response: ureq::http::Response<ureq::Body>,
) -> Result<Response, EngineError> {
    if response.status() != 200 {
        return Err(EngineError::from_status(response.status().as_u16()));
    }
    response
        .body_mut()
        .read_json()
        .map_err(EngineError::from_http)
}
