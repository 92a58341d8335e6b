//! Generated from the schema beside this crate's sources; see docs/LIBRARIES.md.

/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
///Asks a decode agent for a seat and memory pieces for one attempt.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Asks a decode agent for a seat and memory pieces for one attempt.",
///  "type": "object",
///  "required": [
///    "attempt",
///    "organisation",
///    "pieces",
///    "request",
///    "trace",
///    "upstream",
///    "urgency"
///  ],
///  "properties": {
///    "attempt": {
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "organisation": {
///      "type": "string"
///    },
///    "pieces": {
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "request": {
///      "type": "string"
///    },
///    "trace": {
///      "type": "string"
///    },
///    "upstream": {
///      "type": "string"
///    },
///    "urgency": {
///      "$ref": "#/definitions/Urgency"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Bid {
    pub attempt: u32,
    pub organisation: ::std::string::String,
    pub pieces: u32,
    pub request: ::std::string::String,
    pub trace: ::std::string::String,
    pub upstream: ::std::string::String,
    pub urgency: Urgency,
}
impl ::std::convert::From<&Bid> for Bid {
    fn from(value: &Bid) -> Self {
        value.clone()
    }
}
///One sequenced report of an engine's prompt cache. Blocks are identified by hash, in hexadecimal digits. A full report replaces all earlier ones.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One sequenced report of an engine's prompt cache. Blocks are identified by hash, in hexadecimal digits. A full report replaces all earlier ones.",
///  "type": "object",
///  "required": [
///    "added",
///    "full",
///    "removed",
///    "seq"
///  ],
///  "properties": {
///    "added": {
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    },
///    "full": {
///      "type": "boolean"
///    },
///    "removed": {
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    },
///    "seq": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Cache {
    pub added: ::std::vec::Vec<::std::string::String>,
    pub full: bool,
    pub removed: ::std::vec::Vec<::std::string::String>,
    pub seq: u64,
}
impl ::std::convert::From<&Cache> for Cache {
    fn from(value: &Cache) -> Self {
        value.clone()
    }
}
///Tells a peer that the content of a request has crashed an engine.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Tells a peer that the content of a request has crashed an engine.",
///  "type": "object",
///  "required": [
///    "count",
///    "digest",
///    "host"
///  ],
///  "properties": {
///    "count": {
///      "description": "The number of crashes of that host's engine so far.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "digest": {
///      "type": "string"
///    },
///    "host": {
///      "description": "The host whose engine crashed.",
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Crash {
    ///The number of crashes of that host's engine so far.
    pub count: u64,
    pub digest: ::std::string::String,
    ///The host whose engine crashed.
    pub host: ::std::string::String,
}
impl ::std::convert::From<&Crash> for Crash {
    fn from(value: &Crash) -> Self {
        value.clone()
    }
}
///The events of one bid at a decode agent, in order.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The events of one bid at a decode agent, in order.",
///  "oneOf": [
///    {
///      "title": "waiting",
///      "description": "The agent has registered the subscription and from now on notices its end.",
///      "type": "object",
///      "required": [
///        "type"
///      ],
///      "properties": {
///        "type": {
///          "type": "string",
///          "enum": [
///            "waiting"
///          ]
///        }
///      }
///    },
///    {
///      "title": "granted",
///      "description": "The seat is granted, for as long as the subscription is open.",
///      "type": "object",
///      "required": [
///        "type"
///      ],
///      "properties": {
///        "type": {
///          "type": "string",
///          "enum": [
///            "granted"
///          ]
///        }
///      }
///    },
///    {
///      "title": "imported",
///      "description": "The engine has imported the KV cache.",
///      "type": "object",
///      "required": [
///        "micros",
///        "type"
///      ],
///      "properties": {
///        "micros": {
///          "type": "integer",
///          "format": "uint64",
///          "minimum": 0.0
///        },
///        "type": {
///          "type": "string",
///          "enum": [
///            "imported"
///          ]
///        }
///      }
///    },
///    {
///      "title": "chunk",
///      "description": "One token of the answer and its offset.",
///      "type": "object",
///      "required": [
///        "offset",
///        "text",
///        "type"
///      ],
///      "properties": {
///        "offset": {
///          "type": "integer",
///          "format": "uint32",
///          "minimum": 0.0
///        },
///        "text": {
///          "type": "string"
///        },
///        "type": {
///          "type": "string",
///          "enum": [
///            "chunk"
///          ]
///        }
///      }
///    },
///    {
///      "title": "end",
///      "description": "The answer is complete.",
///      "type": "object",
///      "required": [
///        "finish",
///        "tokens",
///        "type"
///      ],
///      "properties": {
///        "finish": {
///          "type": "string"
///        },
///        "tokens": {
///          "type": "integer",
///          "format": "uint32",
///          "minimum": 0.0
///        },
///        "type": {
///          "type": "string",
///          "enum": [
///            "end"
///          ]
///        }
///      }
///    },
///    {
///      "title": "fault",
///      "description": "The attempt failed.",
///      "type": "object",
///      "required": [
///        "fault",
///        "type"
///      ],
///      "properties": {
///        "fault": {
///          "$ref": "#/definitions/Fault"
///        },
///        "type": {
///          "type": "string",
///          "enum": [
///            "fault"
///          ]
///        }
///      }
///    }
///  ]
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(tag = "type")]
pub enum DecodeEvent {
    #[serde(rename = "waiting")]
    Waiting,
    #[serde(rename = "granted")]
    Granted,
    /**imported

The engine has imported the KV cache.*/
    #[serde(rename = "imported")]
    Imported { micros: u64 },
    /**chunk

One token of the answer and its offset.*/
    #[serde(rename = "chunk")]
    Chunk { offset: u32, text: ::std::string::String },
    /**end

The answer is complete.*/
    #[serde(rename = "end")]
    End { finish: ::std::string::String, tokens: u32 },
    /**fault

The attempt failed.*/
    #[serde(rename = "fault")]
    Fault { fault: Fault },
}
impl ::std::convert::From<&Self> for DecodeEvent {
    fn from(value: &DecodeEvent) -> Self {
        value.clone()
    }
}
///The failure of one attempt.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The failure of one attempt.",
///  "type": "object",
///  "required": [
///    "detail",
///    "kind"
///  ],
///  "properties": {
///    "crash": {
///      "description": "If the engine crashed, the number of crashes of this host's engine so far.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "detail": {
///      "type": "string"
///    },
///    "kind": {
///      "$ref": "#/definitions/FaultKind"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Fault {
    ///If the engine crashed, the number of crashes of this host's engine so far.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub crash: ::std::option::Option<u64>,
    pub detail: ::std::string::String,
    pub kind: FaultKind,
}
impl ::std::convert::From<&Fault> for Fault {
    fn from(value: &Fault) -> Self {
        value.clone()
    }
}
///Why an attempt failed at an agent.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Why an attempt failed at an agent.",
///  "type": "string",
///  "enum": [
///    "draining",
///    "stalled",
///    "lost",
///    "crashed",
///    "expired",
///    "invalid",
///    "quarantined"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum FaultKind {
    #[serde(rename = "draining")]
    Draining,
    #[serde(rename = "stalled")]
    Stalled,
    #[serde(rename = "lost")]
    Lost,
    #[serde(rename = "crashed")]
    Crashed,
    #[serde(rename = "expired")]
    Expired,
    #[serde(rename = "invalid")]
    Invalid,
    #[serde(rename = "quarantined")]
    Quarantined,
}
impl ::std::convert::From<&Self> for FaultKind {
    fn from(value: &FaultKind) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for FaultKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Draining => f.write_str("draining"),
            Self::Stalled => f.write_str("stalled"),
            Self::Lost => f.write_str("lost"),
            Self::Crashed => f.write_str("crashed"),
            Self::Expired => f.write_str("expired"),
            Self::Invalid => f.write_str("invalid"),
            Self::Quarantined => f.write_str("quarantined"),
        }
    }
}
impl ::std::str::FromStr for FaultKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "draining" => Ok(Self::Draining),
            "stalled" => Ok(Self::Stalled),
            "lost" => Ok(Self::Lost),
            "crashed" => Ok(Self::Crashed),
            "expired" => Ok(Self::Expired),
            "invalid" => Ok(Self::Invalid),
            "quarantined" => Ok(Self::Quarantined),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for FaultKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for FaultKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for FaultKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///One HTTP header.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One HTTP header.",
///  "type": "object",
///  "required": [
///    "name",
///    "value"
///  ],
///  "properties": {
///    "name": {
///      "type": "string"
///    },
///    "value": {
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Header {
    pub name: ::std::string::String,
    pub value: ::std::string::String,
}
impl ::std::convert::From<&Header> for Header {
    fn from(value: &Header) -> Self {
        value.clone()
    }
}
///The identity and the state of a process, sent to each peer that connects.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The identity and the state of a process, sent to each peer that connects.",
///  "type": "object",
///  "required": [
///    "draining",
///    "epoch",
///    "host",
///    "incarnation",
///    "revision",
///    "role",
///    "upstream",
///    "zone"
///  ],
///  "properties": {
///    "draining": {
///      "type": "boolean"
///    },
///    "epoch": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "host": {
///      "type": "string"
///    },
///    "incarnation": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "revision": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "role": {
///      "$ref": "#/definitions/Role"
///    },
///    "upstream": {
///      "type": "string"
///    },
///    "zone": {
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Hello {
    pub draining: bool,
    pub epoch: u64,
    pub host: ::std::string::String,
    pub incarnation: u64,
    pub revision: u64,
    pub role: Role,
    pub upstream: ::std::string::String,
    pub zone: ::std::string::String,
}
impl ::std::convert::From<&Hello> for Hello {
    fn from(value: &Hello) -> Self {
        value.clone()
    }
}
///The number of tokens that the peer has taken from its own part of the allowance and lent.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The number of tokens that the peer has taken from its own part of the allowance and lent.",
///  "type": "object",
///  "required": [
///    "tokens"
///  ],
///  "properties": {
///    "tokens": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Lent {
    pub tokens: u64,
}
impl ::std::convert::From<&Lent> for Lent {
    fn from(value: &Lent) -> Self {
        value.clone()
    }
}
///One sequenced report of a process's load. Absent fields have not changed since the last report; a full report contains all fields.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One sequenced report of a process's load. Absent fields have not changed since the last report; a full report contains all fields.",
///  "type": "object",
///  "required": [
///    "full",
///    "seq"
///  ],
///  "properties": {
///    "backlog": {
///      "description": "The number of prompt tokens that wait for prefill.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "crowded": {
///      "description": "The speed of a stream with all seats taken, in tokens per second; 0 if not measured yet.",
///      "type": "number",
///      "format": "double"
///    },
///    "draining": {
///      "type": "boolean"
///    },
///    "epoch": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "full": {
///      "type": "boolean"
///    },
///    "pace": {
///      "description": "The measured speed of the engine, in tokens per second.",
///      "type": "number",
///      "format": "double"
///    },
///    "pieces": {
///      "description": "The number of free pieces of engine memory.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "revision": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "seats": {
///      "description": "The number of free decode seats.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "seq": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "waiting": {
///      "description": "The number of bids that wait for a seat or, for a plain service, of calls in progress.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Load {
    ///The number of prompt tokens that wait for prefill.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub backlog: ::std::option::Option<u64>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub crowded: ::std::option::Option<f64>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub draining: ::std::option::Option<bool>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub epoch: ::std::option::Option<u64>,
    pub full: bool,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub pace: ::std::option::Option<f64>,
    ///The number of free pieces of engine memory.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub pieces: ::std::option::Option<u32>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub revision: ::std::option::Option<u64>,
    ///The number of free decode seats.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub seats: ::std::option::Option<u32>,
    pub seq: u64,
    ///The number of bids that wait for a seat or, for a plain service, of calls in progress.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub waiting: ::std::option::Option<u32>,
}
impl ::std::convert::From<&Load> for Load {
    fn from(value: &Load) -> Self {
        value.clone()
    }
}
///Asks a peer entry for tokens of an organisation's allowance, for immediate use.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Asks a peer entry for tokens of an organisation's allowance, for immediate use.",
///  "type": "object",
///  "required": [
///    "charge",
///    "epoch",
///    "organisation",
///    "tokens"
///  ],
///  "properties": {
///    "charge": {
///      "description": "The id of the loan, which its settlement refers to.",
///      "type": "string"
///    },
///    "epoch": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "organisation": {
///      "type": "string"
///    },
///    "tokens": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Loan {
    ///The id of the loan, which its settlement refers to.
    pub charge: ::std::string::String,
    pub epoch: u64,
    pub organisation: ::std::string::String,
    pub tokens: u64,
}
impl ::std::convert::From<&Loan> for Loan {
    fn from(value: &Loan) -> Self {
        value.clone()
    }
}
///One call of a plain service. The body is encoded as base64.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One call of a plain service. The body is encoded as base64.",
///  "type": "object",
///  "required": [
///    "body",
///    "deadline",
///    "headers",
///    "method",
///    "organisation",
///    "path",
///    "request",
///    "trace",
///    "upstream"
///  ],
///  "properties": {
///    "body": {
///      "type": "string"
///    },
///    "claim": {
///      "description": "The idempotency key, if the call may run at most once.",
///      "type": "string"
///    },
///    "deadline": {
///      "description": "The time left until the deadline, in milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "headers": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/Header"
///      }
///    },
///    "method": {
///      "type": "string"
///    },
///    "organisation": {
///      "type": "string"
///    },
///    "path": {
///      "type": "string"
///    },
///    "request": {
///      "type": "string"
///    },
///    "trace": {
///      "type": "string"
///    },
///    "upstream": {
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct PlainCall {
    pub body: ::std::string::String,
    ///The idempotency key, if the call may run at most once.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub claim: ::std::option::Option<::std::string::String>,
    ///The time left until the deadline, in milliseconds.
    pub deadline: u64,
    pub headers: ::std::vec::Vec<Header>,
    pub method: ::std::string::String,
    pub organisation: ::std::string::String,
    pub path: ::std::string::String,
    pub request: ::std::string::String,
    pub trace: ::std::string::String,
    pub upstream: ::std::string::String,
}
impl ::std::convert::From<&PlainCall> for PlainCall {
    fn from(value: &PlainCall) -> Self {
        value.clone()
    }
}
///The outcome of a plain call. Only not_run guarantees that the service did not see the call.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The outcome of a plain call. Only not_run guarantees that the service did not see the call.",
///  "oneOf": [
///    {
///      "title": "answered",
///      "description": "The service answered.",
///      "type": "object",
///      "required": [
///        "body",
///        "headers",
///        "replayed",
///        "status",
///        "type"
///      ],
///      "properties": {
///        "body": {
///          "type": "string"
///        },
///        "headers": {
///          "type": "array",
///          "items": {
///            "$ref": "#/definitions/Header"
///          }
///        },
///        "replayed": {
///          "type": "boolean"
///        },
///        "status": {
///          "type": "integer",
///          "format": "uint16",
///          "minimum": 0.0
///        },
///        "type": {
///          "type": "string",
///          "enum": [
///            "answered"
///          ]
///        }
///      }
///    },
///    {
///      "title": "not_run",
///      "description": "The service did not see this attempt of the call.",
///      "type": "object",
///      "required": [
///        "certain",
///        "reason",
///        "retry",
///        "type"
///      ],
///      "properties": {
///        "certain": {
///          "description": "Whether the service did not see any earlier attempt with the same key either.",
///          "type": "boolean"
///        },
///        "reason": {
///          "type": "string"
///        },
///        "retry": {
///          "type": "boolean"
///        },
///        "type": {
///          "type": "string",
///          "enum": [
///            "not_run"
///          ]
///        }
///      }
///    },
///    {
///      "title": "unknown",
///      "description": "The service may have run the call, which is not run again.",
///      "type": "object",
///      "required": [
///        "reason",
///        "type"
///      ],
///      "properties": {
///        "reason": {
///          "type": "string"
///        },
///        "type": {
///          "type": "string",
///          "enum": [
///            "unknown"
///          ]
///        }
///      }
///    },
///    {
///      "title": "mismatch",
///      "description": "The idempotency key was used before with another call.",
///      "type": "object",
///      "required": [
///        "type"
///      ],
///      "properties": {
///        "type": {
///          "type": "string",
///          "enum": [
///            "mismatch"
///          ]
///        }
///      }
///    }
///  ]
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(tag = "type")]
pub enum PlainReply {
    /**answered

The service answered.*/
    #[serde(rename = "answered")]
    Answered {
        body: ::std::string::String,
        headers: ::std::vec::Vec<Header>,
        replayed: bool,
        status: u16,
    },
    /**not_run

The service did not see this attempt of the call.*/
    #[serde(rename = "not_run")]
    NotRun {
        ///Whether the service did not see any earlier attempt with the same key either.
        certain: bool,
        reason: ::std::string::String,
        retry: bool,
    },
    /**unknown

The service may have run the call, which is not run again.*/
    #[serde(rename = "unknown")]
    Unknown { reason: ::std::string::String },
    #[serde(rename = "mismatch")]
    Mismatch,
}
impl ::std::convert::From<&Self> for PlainReply {
    fn from(value: &PlainReply) -> Self {
        value.clone()
    }
}
///Asks a prefill agent to prefill a prompt.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Asks a prefill agent to prefill a prompt.",
///  "type": "object",
///  "required": [
///    "attempt",
///    "model",
///    "organisation",
///    "prompt",
///    "request",
///    "tokens",
///    "trace",
///    "urgency"
///  ],
///  "properties": {
///    "attempt": {
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "model": {
///      "type": "string"
///    },
///    "organisation": {
///      "type": "string"
///    },
///    "prompt": {
///      "type": "string"
///    },
///    "request": {
///      "type": "string"
///    },
///    "tokens": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "trace": {
///      "type": "string"
///    },
///    "urgency": {
///      "$ref": "#/definitions/Urgency"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Prefill {
    pub attempt: u32,
    pub model: ::std::string::String,
    pub organisation: ::std::string::String,
    pub prompt: ::std::string::String,
    pub request: ::std::string::String,
    pub tokens: u64,
    pub trace: ::std::string::String,
    pub urgency: Urgency,
}
impl ::std::convert::From<&Prefill> for Prefill {
    fn from(value: &Prefill) -> Self {
        value.clone()
    }
}
///The events of one prompt at a prefill agent, in order.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The events of one prompt at a prefill agent, in order.",
///  "oneOf": [
///    {
///      "title": "waiting",
///      "description": "The agent has registered the subscription and from now on notices its end.",
///      "type": "object",
///      "required": [
///        "type"
///      ],
///      "properties": {
///        "type": {
///          "type": "string",
///          "enum": [
///            "waiting"
///          ]
///        }
///      }
///    },
///    {
///      "title": "started",
///      "description": "The engine has started the prefill.",
///      "type": "object",
///      "required": [
///        "type"
///      ],
///      "properties": {
///        "type": {
///          "type": "string",
///          "enum": [
///            "started"
///          ]
///        }
///      }
///    },
///    {
///      "title": "ready",
///      "description": "The KV cache can be imported from the source, which drops it within a second.",
///      "type": "object",
///      "required": [
///        "cached",
///        "kv",
///        "micros",
///        "source",
///        "tokens",
///        "type"
///      ],
///      "properties": {
///        "cached": {
///          "type": "integer",
///          "format": "uint64",
///          "minimum": 0.0
///        },
///        "kv": {
///          "type": "string"
///        },
///        "micros": {
///          "type": "integer",
///          "format": "uint64",
///          "minimum": 0.0
///        },
///        "source": {
///          "type": "string"
///        },
///        "tokens": {
///          "type": "integer",
///          "format": "uint64",
///          "minimum": 0.0
///        },
///        "type": {
///          "type": "string",
///          "enum": [
///            "ready"
///          ]
///        }
///      }
///    },
///    {
///      "title": "fault",
///      "description": "The attempt failed.",
///      "type": "object",
///      "required": [
///        "fault",
///        "type"
///      ],
///      "properties": {
///        "fault": {
///          "$ref": "#/definitions/Fault"
///        },
///        "type": {
///          "type": "string",
///          "enum": [
///            "fault"
///          ]
///        }
///      }
///    }
///  ]
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(tag = "type")]
pub enum PrefillEvent {
    #[serde(rename = "waiting")]
    Waiting,
    #[serde(rename = "started")]
    Started,
    /**ready

The KV cache can be imported from the source, which drops it within a second.*/
    #[serde(rename = "ready")]
    Ready {
        cached: u64,
        kv: ::std::string::String,
        micros: u64,
        source: ::std::string::String,
        tokens: u64,
    },
    /**fault

The attempt failed.*/
    #[serde(rename = "fault")]
    Fault { fault: Fault },
}
impl ::std::convert::From<&Self> for PrefillEvent {
    fn from(value: &PrefillEvent) -> Self {
        value.clone()
    }
}
///The role of a process.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The role of a process.",
///  "type": "string",
///  "enum": [
///    "entry",
///    "prefill",
///    "decode",
///    "service"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Role {
    #[serde(rename = "entry")]
    Entry,
    #[serde(rename = "prefill")]
    Prefill,
    #[serde(rename = "decode")]
    Decode,
    #[serde(rename = "service")]
    Service,
}
impl ::std::convert::From<&Self> for Role {
    fn from(value: &Role) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for Role {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Entry => f.write_str("entry"),
            Self::Prefill => f.write_str("prefill"),
            Self::Decode => f.write_str("decode"),
            Self::Service => f.write_str("service"),
        }
    }
}
impl ::std::str::FromStr for Role {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "entry" => Ok(Self::Entry),
            "prefill" => Ok(Self::Prefill),
            "decode" => Ok(Self::Decode),
            "service" => Ok(Self::Service),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Role {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Role {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Role {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Tells the lender how many tokens of a loan were used.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Tells the lender how many tokens of a loan were used.",
///  "type": "object",
///  "required": [
///    "charge",
///    "organisation",
///    "used"
///  ],
///  "properties": {
///    "charge": {
///      "type": "string"
///    },
///    "organisation": {
///      "type": "string"
///    },
///    "used": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Settle {
    pub charge: ::std::string::String,
    pub organisation: ::std::string::String,
    pub used: u64,
}
impl ::std::convert::From<&Settle> for Settle {
    fn from(value: &Settle) -> Self {
        value.clone()
    }
}
///A process's copy of the store's documents, for peers that start while the store is unavailable. Both fields contain JSON text; an empty field means that the process has no copy.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A process's copy of the store's documents, for peers that start while the store is unavailable. Both fields contain JSON text; an empty field means that the process has no copy.",
///  "type": "object",
///  "required": [
///    "division",
///    "document"
///  ],
///  "properties": {
///    "division": {
///      "description": "The division of allowances and its epoch.",
///      "type": "string"
///    },
///    "document": {
///      "description": "The configuration and its revision.",
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Snapshot {
    ///The division of allowances and its epoch.
    pub division: ::std::string::String,
    ///The configuration and its revision.
    pub document: ::std::string::String,
}
impl ::std::convert::From<&Snapshot> for Snapshot {
    fn from(value: &Snapshot) -> Self {
        value.clone()
    }
}
///Tells the agent that granted a seat which KV cache to import from which engine, and from which offset to decode.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Tells the agent that granted a seat which KV cache to import from which engine, and from which offset to decode.",
///  "type": "object",
///  "required": [
///    "attempt",
///    "kv",
///    "max",
///    "model",
///    "offset",
///    "prompt",
///    "request",
///    "source"
///  ],
///  "properties": {
///    "attempt": {
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "kv": {
///      "type": "string"
///    },
///    "max": {
///      "description": "The maximum number of tokens in the answer.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "model": {
///      "type": "string"
///    },
///    "offset": {
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "prompt": {
///      "type": "string"
///    },
///    "request": {
///      "type": "string"
///    },
///    "source": {
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Start {
    pub attempt: u32,
    pub kv: ::std::string::String,
    ///The maximum number of tokens in the answer.
    pub max: u32,
    pub model: ::std::string::String,
    pub offset: u32,
    pub prompt: ::std::string::String,
    pub request: ::std::string::String,
    pub source: ::std::string::String,
}
impl ::std::convert::From<&Start> for Start {
    fn from(value: &Start) -> Self {
        value.clone()
    }
}
///The urgency of a request, relative to the time of sending.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The urgency of a request, relative to the time of sending.",
///  "type": "object",
///  "required": [
///    "share",
///    "slack",
///    "token",
///    "waits",
///    "work"
///  ],
///  "properties": {
///    "share": {
///      "description": "The fraction of its allowance that the organisation has been served recently, from 0 to 1.",
///      "type": "number",
///      "format": "double"
///    },
///    "slack": {
///      "description": "The time left until the target, in milliseconds.",
///      "type": "integer",
///      "format": "int64"
///    },
///    "token": {
///      "description": "The target time between tokens, in milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "waits": {
///      "description": "Whether the request's class may wait.",
///      "type": "boolean"
///    },
///    "work": {
///      "description": "The expected time from the grant to the first token, in milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Urgency {
    pub share: f64,
    ///The time left until the target, in milliseconds.
    pub slack: i64,
    ///The target time between tokens, in milliseconds.
    pub token: u64,
    ///Whether the request's class may wait.
    pub waits: bool,
    ///The expected time from the grant to the first token, in milliseconds.
    pub work: u64,
}
impl ::std::convert::From<&Urgency> for Urgency {
    fn from(value: &Urgency) -> Self {
        value.clone()
    }
}
///`Wire`
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "title": "wire"
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(transparent)]
pub struct Wire(pub ::serde_json::Value);
impl ::std::ops::Deref for Wire {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<Wire> for ::serde_json::Value {
    fn from(value: Wire) -> Self {
        value.0
    }
}
impl ::std::convert::From<&Wire> for Wire {
    fn from(value: &Wire) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<::serde_json::Value> for Wire {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
