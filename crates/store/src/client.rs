//! Reads and swaps of single keys.

use crate::budget::RateLimiter;
use crate::errors::StoreError;
use crate::message;
use crate::watch::Watch;
use std::net;
use std::sync;
use std::time;

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
const CALLS_PER_SECOND: f64 = 20.0;
const CALLS_AT_ONCE: f64 = 40.0;
const READ_BACKS: u32 = 3;

/// A value with the store revision that wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedValue {
    /// The revision to compare with in a swap.
    pub revision: u64,
    /// The bytes.
    pub value: Vec<u8>,
}

/// How a compare-and-swap ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapResult {
    /// The value was written at this revision.
    Written(u64),
    /// Somebody else wrote first; this is what stands now.
    Conflict(Option<VersionedValue>),
}

/// A client that blocks; processes give it a thread of its own.
#[derive(Clone)]
pub struct Client {
    agent: ureq::Agent,
    base: String,
    budget: sync::Arc<sync::Mutex<RateLimiter>>,
}

impl Client {
    /// Makes a client with the ordinary budget; connects with the first call.
    pub fn new(address: net::SocketAddr) -> Self {
        Self::with_rate_limiter(address, RateLimiter::new(CALLS_PER_SECOND, CALLS_AT_ONCE))
    }

    /// Makes a client with a budget of its own.
    pub fn with_rate_limiter(address: net::SocketAddr, budget: RateLimiter) -> Self {
        let agent = ureq::Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build()
            .new_agent();
        Self {
            agent,
            base: format!("http://{address}"),
            budget: sync::Arc::new(sync::Mutex::new(budget)),
        }
    }

    /// Reads one key.
    pub fn get(&self, key: &str) -> Result<Option<VersionedValue>, StoreError> {
        let request = message::RangeRequest {
            key: message::encode(key.as_bytes()),
            range_end: None,
        };
        let response: message::RangeResponse = self.post("range", "/v3/kv/range", &request)?;
        first_value(&response)
    }

    /// Writes `value` if the key's revision is still `expected`; 0 means that
    /// the key must not exist. An answer that is lost leaves the outcome open:
    /// use [`Client::compare_and_swap_confirmed`] to have it read back.
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
            None => Err(StoreError::Refused("a swap without its reading".into())),
        }
    }

    /// Swaps, and reads back a lost answer. `value` must differ from every
    /// other writer's, so that what stands tells who wrote it.
    pub fn compare_and_swap_confirmed(
        &self,
        key: &str,
        expected: u64,
        value: &[u8],
    ) -> Result<SwapResult, StoreError> {
        let lost = match self.compare_and_swap(key, expected, value) {
            Err(StoreError::ResponseLost(reason)) => reason,
            other => return other,
        };
        for _ in 0..READ_BACKS {
            match self.get(key) {
                Ok(Some(now)) if now.value == value => {
                    return Ok(SwapResult::Written(now.revision));
                }
                // The write may still be on its way while the old value stands.
                Ok(now) if now.as_ref().map_or(0, |n| n.revision) == expected => {}
                Ok(now) => return Ok(SwapResult::Conflict(now)),
                Err(_) => {}
            }
        }
        Err(StoreError::ResponseLost(lost))
    }

    /// Waits for changes of one key after the revision given.
    pub fn watch(&self, key: &str, after: u64) -> Result<Watch, StoreError> {
        Watch::open(&self.base, key, after)
    }

    fn post<Q, A>(&self, call: &'static str, path: &str, request: &Q) -> Result<A, StoreError>
    where
        Q: serde::Serialize,
        A: serde::de::DeserializeOwned,
    {
        let allowed = {
            let mut budget = self.budget.lock().unwrap_or_else(|e| e.into_inner());
            budget.try_acquire(time::Instant::now())
        };
        if !allowed {
            return Err(StoreError::RateLimited);
        }
        metrics::counter!("hornbeampitch_store_calls_total", "call" => call).increment(1);
        let url = format!("{}{path}", self.base);
        let mut response = self
            .agent
            .post(&url)
            .send_json(request)
            .map_err(sort_error)?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(StoreError::Refused(format!("status {status}")));
        }
        response.body_mut().read_json().map_err(sort_error)
    }
}

/// Tells a call that never left from one whose answer was lost.
pub(crate) fn sort_error(error: ureq::Error) -> StoreError {
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

fn first_value(range: &message::RangeResponse) -> Result<Option<VersionedValue>, StoreError> {
    let Some(kv) = range.kvs.first() else {
        return Ok(None);
    };
    let value = message::decode(&kv.value)
        .ok_or_else(|| StoreError::Refused("a value that is not base64".into()))?;
    Ok(Some(VersionedValue {
        revision: kv.mod_revision.0,
        value,
    }))
}
