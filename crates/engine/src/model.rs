//! Calls to a model engine.

use crate::errors::EngineError;
use crate::message;
use std::io;
use std::io::BufRead;
use std::net;
use std::time;

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// A stream without a token for so long has stalled.
const TOKEN_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// A prefill may wait behind others in its engine.
const PREFILL_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// A transfer that takes longer than the result lives has stalled.
const IMPORT_TIMEOUT: time::Duration = time::Duration::from_millis(900);
/// A feed of cache changes that is silent so long is opened anew.
const CACHE_SILENCE: time::Duration = time::Duration::from_secs(5);
const SHORT_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// A client of one engine.
#[derive(Clone)]
pub struct EngineClient {
    agent: ureq::Agent,
    base: String,
}

impl EngineClient {
    /// Makes a client; connects with the first call.
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
            base: format!("http://{address}"),
        }
    }

    /// Works through a prompt; blocks until the result can be imported.
    pub fn prefill(
        &self,
        prefill: &message::PrefillRequest,
    ) -> Result<message::PrefillResult, EngineError> {
        self.post("/kv/prefill", prefill, PREFILL_TIMEOUT)
    }

    /// Fetches a prefilled result; blocks until it has arrived.
    pub fn import(&self, import: &message::ImportRequest) -> Result<(), EngineError> {
        let _: serde_json::Value = self.post("/kv/import", import, IMPORT_TIMEOUT)?;
        Ok(())
    }

    /// Streams an answer into `sink`, which returns false to stop listening.
    pub fn stream(
        &self,
        resume: &message::StreamRequest,
        mut sink: impl FnMut(message::StreamEvent) -> bool,
    ) -> Result<(), EngineError> {
        let response = self
            .agent
            .post(format!("{}/v1/completions", self.base))
            .config()
            .timeout_recv_response(Some(TOKEN_TIMEOUT))
            .timeout_per_read(Some(TOKEN_TIMEOUT))
            .build()
            .send_json(resume)
            .map_err(EngineError::of_http)?;
        if response.status() != 200 {
            return Err(EngineError::of_status(response.status().as_u16()));
        }
        read_events(response, &mut sink)
    }

    /// Follows changes of the prompt cache into `sink`, which returns false to
    /// stop listening; ends with an error otherwise.
    pub fn stream_cache_events(
        &self,
        mut sink: impl FnMut(message::CacheEvent) -> bool,
    ) -> Result<(), EngineError> {
        let response = self
            .agent
            .get(format!("{}/cache/events", self.base))
            .config()
            .timeout_recv_response(Some(SHORT_TIMEOUT))
            .timeout_per_read(Some(CACHE_SILENCE))
            .build()
            .call()
            .map_err(EngineError::of_http)?;
        if response.status() != 200 {
            return Err(EngineError::of_status(response.status().as_u16()));
        }
        read_events(response, &mut sink)
    }

    /// Reads the whole prompt cache.
    pub fn cache_snapshot(&self) -> Result<message::CacheSnapshot, EngineError> {
        self.get("/cache")
    }

    /// Frees all that the engine holds of a request; may be repeated.
    pub fn cancel(&self, request: &str) -> Result<(), EngineError> {
        let body = serde_json::json!({ "request": request });
        let _: serde_json::Value = self.post("/cancel", &body, SHORT_TIMEOUT)?;
        Ok(())
    }

    /// Lists what the engine holds.
    pub fn running_requests(&self) -> Result<message::RunningRequests, EngineError> {
        self.get("/running")
    }

    /// Reads the reported load.
    pub fn load(&self) -> Result<message::LoadReport, EngineError> {
        self.get("/load")
    }

    /// Gives an order.
    pub fn send_order(&self, order: &message::Order) -> Result<(), EngineError> {
        let _: serde_json::Value = self.post("/orders", order, SHORT_TIMEOUT)?;
        Ok(())
    }

    fn post<Q, A>(&self, path: &str, body: &Q, limit: time::Duration) -> Result<A, EngineError>
    where
        Q: serde::Serialize,
        A: serde::de::DeserializeOwned,
    {
        let response = self
            .agent
            .post(format!("{}{path}", self.base))
            .config()
            .timeout_global(Some(limit))
            .build()
            .send_json(body)
            .map_err(EngineError::of_http)?;
        read(response)
    }

    fn get<A: serde::de::DeserializeOwned>(&self, path: &str) -> Result<A, EngineError> {
        let response = self
            .agent
            .get(format!("{}{path}", self.base))
            .config()
            .timeout_global(Some(SHORT_TIMEOUT))
            .build()
            .call()
            .map_err(EngineError::of_http)?;
        read(response)
    }
}

/// Hands each event of a stream to `sink` until the last, or until it returns
/// false.
fn read_events<T: serde::de::DeserializeOwned>(
    response: ureq::http::Response<ureq::Body>,
    sink: &mut impl FnMut(T) -> bool,
) -> Result<(), EngineError> {
    let body = response.into_body().into_with_config().limit(u64::MAX);
    let mut lines = io::BufReader::new(body.reader());
    let mut line = String::new();
    loop {
        line.clear();
        let read = lines.read_line(&mut line);
        let read = read.map_err(|e| EngineError::of_io(&e))?;
        if read == 0 {
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

fn read<A: serde::de::DeserializeOwned>(
    mut response: ureq::http::Response<ureq::Body>,
) -> Result<A, EngineError> {
    if response.status() != 200 {
        return Err(EngineError::of_status(response.status().as_u16()));
    }
    response
        .body_mut()
        .read_json()
        .map_err(EngineError::of_http)
}
