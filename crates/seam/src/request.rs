//! A caller's request, and the replies that an entry makes itself.

use std::time;
use world::Name;

/// A caller's request with the fields decoded from its head.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies this attempt of the caller; a retry has another id.
    pub id: Name,
    /// Method, forwarded unchanged.
    pub method: http::Method,
    /// Path and query, forwarded unchanged.
    pub target: Name,
    /// Host name that the caller asked for, without a port.
    pub host: Name,
    /// API key; it is not forwarded to upstream hosts.
    pub api_key: Option<Name>,
    /// How long the caller waits for the response.
    pub timeout: Option<time::Duration>,
    /// Number of prompt tokens, and the maximum number of response tokens.
    pub token_counts: Option<(u64, u64)>,
    /// Ids of the parts of the prompt that other requests may share, in order. The last
    /// part, which belongs to this request or its session alone, is left out.
    pub prompt_parts: Vec<Name>,
    /// The caller's estimate of the number of response tokens.
    pub length_hint: Option<u64>,
    /// Id of the last event that the caller received, when it resumes a stream.
    pub last_event: Option<u64>,
    /// Headers to forward: without those of this system and those that concern
    /// only one connection.
    pub headers: http::HeaderMap,
    /// Body, forwarded unchanged.
    pub body: bytes::Bytes,
}

impl Request {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the ids of the prompt's shared parts as they are written in logs.
    pub fn part_list(&self) -> String {
        self.prompt_parts.join(",")
    }

    /// Returns the most tokens of engine memory that the request may need; 0
    /// when the request states no token counts.
    pub fn memory_tokens(&self) -> u64 {
        self.token_counts
            .map_or(0, |(prompt, response)| prompt + response)
    }

    /// Returns the number of prompt tokens; 0 when the request states none.
    pub fn prompt_tokens(&self) -> u64 {
        self.token_counts.map_or(0, |(prompt, _)| prompt)
    }
}

/// Why a request head could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum HeadError {
    /// The request id is missing or unreadable.
    #[display("the request's id is missing or unreadable")]
    Id,
    /// The host name is missing or unreadable.
    #[display("the host name is missing or unreadable")]
    Host,
    /// The request target is not a path.
    #[display("the target is no path")]
    Target,
    /// A numeric header can't be parsed.
    #[display("a number in the head can't be read")]
    Number,
}

/// A reply that the entry makes itself instead of forwarding a response.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// HTTP status of the reply.
    pub status: http::StatusCode,
    /// Id of the request that is answered, where it was readable.
    pub id: Option<Name>,
    /// When the caller should retry; `None` where a retry would not help.
    pub retry_after: Option<time::Duration>,
    /// Short reason code.
    pub reason: &'static str,
}
