//! JSON messages of the store, in which 64-bit numbers and bytes are encoded as text.

use base64::Engine;
use base64::engine::general_purpose;

#[derive(Debug, Default, serde::Serialize)]
pub(crate) struct RangeRequest {
    pub key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<String>,
}

#[derive(Debug, serde::Deserialize)]
pub(crate) struct RangeResponse {
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

#[derive(Debug, Default, serde::Deserialize)]
pub(crate) struct ResponseHeader {
    #[serde(default)]
    pub revision: StringU64,
}

#[derive(Clone, Debug, serde::Deserialize)]
pub(crate) struct KeyValue {
    #[serde(default)]
    pub value: String,
    #[serde(default)]
    pub mod_revision: StringU64,
}

/// A 64-bit number that is encoded as a decimal string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(try_from = "String")]
pub(crate) struct StringU64(pub u64);

impl TryFrom<String> for StringU64 {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse().map(StringU64)
    }
}

#[derive(Debug, serde::Serialize)]
pub(crate) struct TxnRequest {
    pub compare: Vec<Compare>,
    pub success: Vec<Op>,
    pub failure: Vec<Op>,
}

#[derive(Debug, serde::Serialize)]
pub(crate) struct Compare {
    pub key: String,
    pub target: &'static str,
    pub mod_revision: String,
    pub result: &'static str,
}

#[derive(Debug, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Op {
    RequestPut(PutRequest),
    RequestRange(RangeRequest),
}

#[derive(Debug, serde::Serialize)]
pub(crate) struct PutRequest {
    pub key: String,
    pub value: String,
}

#[derive(Debug, serde::Deserialize)]
pub(crate) struct TxnResponse {
    pub header: ResponseHeader,
    #[serde(default)]
    pub succeeded: bool,
    #[serde(default)]
    pub responses: Vec<OpResponse>,
}

#[derive(Debug, serde::Deserialize)]
pub(crate) struct OpResponse {
    pub response_range: Option<RangeResponse>,
}

#[derive(Debug, serde::Serialize)]
pub(crate) struct WatchRequest {
    pub create_request: WatchCreate,
}

#[derive(Debug, serde::Serialize)]
pub(crate) struct WatchCreate {
    pub key: String,
    pub start_revision: String,
}

#[derive(Debug, serde::Deserialize)]
pub(crate) struct WatchResponse {
    pub result: WatchResult,
}

#[derive(Debug, serde::Deserialize)]
pub(crate) struct WatchResult {
    #[serde(default)]
    pub events: Vec<Event>,
}

#[derive(Debug, serde::Deserialize)]
pub(crate) struct Event {
    pub kv: KeyValue,
}

/// Encodes bytes as base64.
pub(crate) fn encode(bytes: &[u8]) -> String {
    general_purpose::STANDARD.encode(bytes)
}

/// Decodes base64; returns `None` if it is invalid.
pub(crate) fn decode(text: &str) -> Option<Vec<u8>> {
    general_purpose::STANDARD.decode(text).ok()
}
