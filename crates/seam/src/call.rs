//! A caller's request as an entry decides on it.

use std::time;
use world::Name;

/// A request with what its head tells.
#[derive(Clone, Debug)]
pub struct Call {
    /// Names this attempt of the caller.
    pub id: Name,
    /// The method, passed on unchanged.
    pub method: http::Method,
    /// Path and query, passed on unchanged.
    pub target: Name,
    /// The host name asked for, without a port.
    pub host: Name,
    /// The key; it goes no further.
    pub key: Option<Name>,
    /// How long the caller waits.
    pub patience: Option<time::Duration>,
    /// Prompt tokens and the most tokens of the answer.
    pub tokens: Option<(u64, u64)>,
    /// The caller's estimate of the answer's tokens.
    pub hint: Option<u64>,
    /// The last event that the caller has, where it resumes a stream.
    pub after: Option<u64>,
    /// The headers that are passed on: none of the system's own and none that
    /// concern one connection.
    pub headers: http::HeaderMap,
    /// The body, passed on unchanged.
    pub body: bytes::Bytes,
}

impl Call {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Tokens of engine memory that the request may need.
    pub fn memory(&self) -> u64 {
        self.tokens.map_or(0, |(prompt, answer)| prompt + answer)
    }

    /// Prompt tokens.
    pub fn prompt(&self) -> u64 {
        self.tokens.map_or(0, |(prompt, _)| prompt)
    }
}

/// Why a head can't be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum HeadFault {
    /// The id is missing or unreadable.
    #[display("the request's id is missing or unreadable")]
    Id,
    /// The host name is missing or unreadable.
    #[display("the host name is missing or unreadable")]
    Host,
    /// The target is no path.
    #[display("the target is no path")]
    Target,
    /// A number in the head can't be read.
    #[display("a number in the head can't be read")]
    Number,
}

/// An answer of the entry's own.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The status.
    pub status: http::StatusCode,
    /// The request that it answers.
    pub id: Option<Name>,
    /// When to come back, where that helps.
    pub again: Option<time::Duration>,
    /// Why, in a few words.
    pub reason: &'static str,
}
