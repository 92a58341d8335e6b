//! JSON messages of the engine protocol.

/// Asks an engine to prefill a prompt and to keep the KV cache for export.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct PrefillRequest {
    /// The id of the request at this engine.
    pub request: String,
    /// The name of the model.
    pub model: String,
    /// The text of the prompt.
    pub prompt: String,
    /// The priority; engines run higher values first.
    pub priority: i64,
}

/// The response to a finished prefill.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct PrefillResult {
    /// The id of the exported KV cache at this engine, which drops it within a second.
    pub kv: String,
    /// The number of tokens in the prompt.
    pub tokens: u64,
    /// The number of prompt tokens that were cached already.
    pub cached: u64,
}

/// Asks a decode engine to import the KV cache of a prefill from another engine.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct ImportRequest {
    /// The id of the request at this engine.
    pub request: String,
    /// The address of the prefill engine.
    pub source: String,
    /// The id of the KV cache at the prefill engine.
    pub kv: String,
    /// The number of memory pieces that the whole answer may need.
    pub pieces: u32,
}

/// Asks for the token stream of an imported request, from an offset on.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct StreamRequest {
    /// The id of the request at this engine.
    pub request: String,
    /// The name of the model.
    pub model: String,
    /// The text of the prompt.
    pub prompt: String,
    /// The maximum number of tokens in the whole answer.
    pub max_tokens: u32,
    /// The offset of the first token to send.
    pub offset: u32,
    /// Always true, since answers are only requested as streams.
    pub stream: bool,
}

/// One event of a token stream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(untagged)]
pub enum StreamEvent {
    /// One token of the answer.
    Text {
        /// The position of the token in the answer, counted from 0.
        offset: u32,
        /// The text of the token.
        text: String,
    },
    /// The answer is complete.
    End {
        /// Why the answer ended: `stop` or `length`.
        finish: String,
        /// The number of tokens in the whole answer.
        tokens: u32,
    },
}

/// The requests that an engine holds.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct RunningRequests {
    /// The ids of all requests that are queued, are running or hold memory.
    pub requests: Vec<String>,
}

/// A change of the engine's prefix cache.
///
/// A block is identified by the hash of the prompt up to the end of the block,
/// in hexadecimal digits.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct CacheEvent {
    /// The sequence number, which grows by one with each change. Some changes
    /// are never published, so a reader sees gaps.
    pub seq: u64,
    /// The blocks that were added.
    pub stored: Vec<String>,
    /// The blocks that were evicted.
    pub removed: Vec<String>,
}

/// The content of the prefix cache after a given change.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct CacheSnapshot {
    /// The sequence number of the last change that the snapshot includes.
    pub seq: u64,
    /// The hashes of all cached blocks.
    pub blocks: Vec<String>,
}

/// The load of an engine as it reports it, which lags behind its actual load.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// The number of requests being decoded.
    pub running: u32,
    /// The number of free memory pieces.
    pub free: u32,
    /// The number of prompts that are queued for prefill or being prefilled.
    pub prefills: u32,
}

/// A control order to an engine.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Order {
    /// The fencing number, which grows with each incarnation of the agent.
    pub fence: u64,
    /// The operation to perform.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// The operations that an engine can be ordered to perform.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase", tag = "order")]
pub enum OrderKind {
    /// Load a model.
    Model {
        /// The name of the model.
        name: String,
        /// The version of the model; empty for the newest.
        version: String,
    },
    /// Load exactly these adapters of the model and unload all others.
    Adapters {
        /// The names of the adapters.
        names: Vec<String>,
    },
    /// Switch to serving prefill or decode.
    Role {
        /// The role: `prefill` or `decode`.
        role: String,
    },
    /// Reject orders with a lower fencing number from now on.
    Fence,
}
