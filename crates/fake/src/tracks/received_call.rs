//! A call as a fake worker received it.

use crate::tracks::names;
use std::collections;

/// A call as a worker received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedCall {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Header values by lowercase name.
    pub headers: collections::BTreeMap<String, String>,
    /// Body, with invalid UTF-8 replaced.
    pub body: String,
}

impl ReceivedCall {
    /// Returns the value of a header; empty if the call has none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns whether the call's prompt has a shared part with this id.
    pub fn has_part(&self, id: &str) -> bool {
        let parts: Vec<&str> = self.header(names::PROMPT_PREFIX).split(',').collect();
        let shared = &parts[..parts.len().saturating_sub(1)];
        shared.iter().any(|p| p.split(':').next() == Some(id))
    }

    /// Returns whether the call executes a caller's request, as opposed to a prefill or
    /// an internal call.
    pub fn is_client_request(&self) -> bool {
        let is_prefill = self.header(names::SERVING_STAGE) == "prefill";
        !is_prefill && !self.path.starts_with(names::INTERNAL_PREFIX)
    }
}
