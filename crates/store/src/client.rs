//! Blocking client that reads, writes and watches single keys.

use crate::errors::StoreError;
use crate::message;
use crate::rate_limiter::RateLimiter;
use crate::watch::Watch;
use std::net;
use std::sync;
use std::time;

/// The timeout for opening a connection to the store.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// The timeout of a whole call.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// The default rate limit of a client.
const CALLS_PER_SECOND: f64 = 20.0;
/// The largest burst of calls under the default rate limit.
const MAX_CALL_BURST: f64 = 40.0;
/// How often a key is read back after a write whose response was lost.
const MAX_READ_BACKS: u32 = 3;

/// A value with the store revision at which it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedValue {
    /// The revision at which the key was last written.
    pub revision: u64,
    /// The bytes of the value.
    pub value: Vec<u8>,
}

/// The result of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapResult {
    /// The value was written, at this revision.
    Written(u64),
    /// The key was not at the expected revision, so nothing was written. Holds
    /// the current value, or `None` if the key does not exist.
    Conflict(Option<VersionedValue>),
}

/// A client of the store. Its calls block the calling thread; clones share the
/// connections and the rate limit.
#[derive(Clone)]
pub struct Client {
    agent: ureq::Agent,
    base_url: String,
    rate_limiter: sync::Arc<sync::Mutex<RateLimiter>>,
}

impl Client {
    /// Creates a client with the default rate limit, which connects with its first
    /// call.
    pub fn new(address: net::SocketAddr) -> Self {
        Self::with_rate_limiter(address, RateLimiter::new(CALLS_PER_SECOND, MAX_CALL_BURST))
    }

    /// Creates a client with the given rate limit.
    pub fn with_rate_limiter(address: net::SocketAddr, rate_limiter: RateLimiter) -> Self {
        let agent = ureq::Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build()
            .new_agent();
        Self {
            agent,
            base_url: format!("http://{address}"),
            rate_limiter: sync::Arc::new(sync::Mutex::new(rate_limiter)),
        }
    }

    /// Reads a key; returns `None` if it does not exist.
    pub fn get(&self, key: &str) -> Result<Option<VersionedValue>, StoreError> {
        let request = message::RangeRequest {
            key: message::encode(key.as_bytes()),
            range_end: None,
        };
        let response: message::RangeResponse = self.post("range", "/v3/kv/range", &request)?;
        first_value(&response)
    }

    /// Writes `value` if the key's revision is still `expected`, where 0 means
    /// that the key must not exist.
    ///
    /// After [`StoreError::ResponseLost`] the value may have been written; use
    /// [`Client::compare_and_swap_confirmed`] to have it read back.
    pub fn compare_and_swap(
        &self,
        key: &str,
        expected: u64,
        value: &[u8],
    ) -> Result<SwapResult, StoreError> {
        let key = message::encode(key.as_bytes());
        let request = message::TxnRequest {
            compare: vec![message::Compare {
                key: key.clone(),
                target: "MOD",
                mod_revision: expected.to_string(),
                result: "EQUAL",
            }],
            success: vec![message::Op::RequestPut(message::PutRequest {
                key: key.clone(),
                value: message::encode(value),
            })],
            failure: vec![message::Op::RequestRange(message::RangeRequest {
                key,
                range_end: None,
            })],
        };
        let response: message::TxnResponse = self.post("swap", "/v3/kv/txn", &request)?;
        if response.succeeded {
            return Ok(SwapResult::Written(response.header.revision.0));
        }
        let range = response
            .responses
            .into_iter()
            .find_map(|r| r.response_range);
        match range {
            Some(range) => Ok(SwapResult::Conflict(first_value(&range)?)),
            None => Err(StoreError::Refused(
                "the response to a failed swap has no current value".into(),
            )),
        }
    }

    /// Does a compare-and-swap and, if its response is lost, reads the key back.
    ///
    /// `value` must differ from the values of all other writers, so that the
    /// value read back tells whether this write took effect.
    pub fn compare_and_swap_confirmed(
        &self,
        key: &str,
        expected: u64,
        value: &[u8],
    ) -> Result<SwapResult, StoreError> {
        let reason = match self.compare_and_swap(key, expected, value) {
            Err(StoreError::ResponseLost(reason)) => reason,
            other => return other,
        };
        for _ in 0..MAX_READ_BACKS {
            match self.get(key) {
                Ok(Some(current)) if current.value == value => {
                    return Ok(SwapResult::Written(current.revision));
                }
                // The key is unchanged, but the write may still be in flight.
                Ok(current) if current.as_ref().map_or(0, |c| c.revision) == expected => {}
                Ok(current) => return Ok(SwapResult::Conflict(current)),
                Err(_) => {}
            }
        }
        Err(StoreError::ResponseLost(reason))
    }

    /// Opens a watch on changes of a key after the revision `after`.
    pub fn watch(&self, key: &str, after: u64) -> Result<Watch, StoreError> {
        Watch::open(&self.base_url, key, after)
    }

    /// Makes a call within the rate limit and counts it in the metrics under the label
    /// `call`.
    fn post<Request, Response>(
        &self,
        call: &'static str,
        path: &str,
        request: &Request,
    ) -> Result<Response, StoreError>
    where
        Request: serde::Serialize,
        Response: serde::de::DeserializeOwned,
    {
        let acquired = {
            let mut rate_limiter = self.rate_limiter.lock().unwrap_or_else(|e| e.into_inner());
            rate_limiter.try_acquire(time::Instant::now())
        };
        if !acquired {
            return Err(StoreError::RateLimited);
        }
        metrics::counter!("hornbeampitch_store_calls_total", "call" => call).increment(1);
        let url = format!("{}{path}", self.base_url);
        let mut response = self
            .agent
            .post(&url)
            .send_json(request)
            .map_err(classify_error)?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(StoreError::Refused(format!("status {status}")));
        }
        response.body_mut().read_json().map_err(classify_error)
    }
}

/// Maps an error to [`StoreError::Unreachable`] if the store can't have seen the call,
/// and otherwise to [`StoreError::ResponseLost`].
pub(crate) fn classify_error(error: ureq::Error) -> StoreError {
    let text = error.to_string();
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect) => StoreError::Unreachable(text),
        ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            StoreError::Unreachable(text)
        }
        _ => StoreError::ResponseLost(text),
    }
}

/// Returns the value of the first key in a response; `None` if it holds no key.
fn first_value(range: &message::RangeResponse) -> Result<Option<VersionedValue>, StoreError> {
    let Some(entry) = range.kvs.first() else {
        return Ok(None);
    };
    let value = message::decode(&entry.value)
        .ok_or_else(|| StoreError::Refused("the value is not valid base64".into()))?;
    Ok(Some(VersionedValue {
        revision: entry.mod_revision.0,
        value,
    }))
}
