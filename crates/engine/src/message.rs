//! The engines' JSON messages.

/// Asks for a prompt to be worked through and its cache exported.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct PrefillRequest {
    /// The request's id at this engine.
    pub request: String,
    /// The model.
    pub model: String,
    /// The prompt's text.
    pub prompt: String,
    /// Engines work on higher priorities first.
    pub priority: i64,
}

/// A finished prefill.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct PrefillResult {
    /// Names the result at this engine for less than a second.
    pub kv: String,
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Those that were cached already.
    pub cached: u64,
}

/// Asks a decode engine to fetch a prefilled result.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct ImportRequest {
    /// The request's id at this engine.
    pub request: String,
    /// The prefill engine's address.
    pub source: String,
    /// The result's name there.
    pub kv: String,
    /// Pieces of memory that the whole answer may need.
    pub pieces: u32,
}

/// Asks for a stream of an imported request from an offset on.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct StreamRequest {
    /// The request's id at this engine.
    pub request: String,
    /// The model.
    pub model: String,
    /// The prompt's text.
    pub prompt: String,
    /// Most tokens of the whole answer.
    pub max_tokens: u32,
    /// The first token that is wanted.
    pub offset: u32,
    /// Always true: answers are streamed.
    pub stream: bool,
}

/// One line of a stream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(untagged)]
pub enum StreamEvent {
    /// A token at its offset.
    Text {
        /// Its place in the answer, from 0.
        offset: u32,
        /// Its text.
        text: String,
    },
    /// The end of the whole answer.
    End {
        /// `stop` or `length`.
        finish: String,
        /// Tokens of the whole answer.
        tokens: u32,
    },
}

/// What an engine holds.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct RunningRequests {
    /// Ids of all requests with memory, queued or running.
    pub requests: Vec<String>,
}

/// A change of the engine's prompt cache. Blocks are named by a hash of the
/// prompt up to their end, in hexadecimal digits.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct CacheEvent {
    /// Grows by one with each change; some are never published.
    pub seq: u64,
    /// Blocks that were cached.
    pub stored: Vec<String>,
    /// Blocks that were thrown out.
    pub removed: Vec<String>,
}

/// The whole prompt cache, as of a change.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct CacheSnapshot {
    /// The last change that it holds.
    pub seq: u64,
    /// All cached blocks.
    pub blocks: Vec<String>,
}

/// Load as the engine reports it, with a lag.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Requests being decoded.
    pub running: u32,
    /// Free pieces of memory.
    pub free: u32,
    /// Prompts that wait or run.
    pub prefills: u32,
}

/// An order to an engine.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Order {
    /// Grows with each incarnation of the agent.
    pub fence: u64,
    /// What to do.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// What engines can be told to do.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase", tag = "order")]
pub enum OrderKind {
    /// Load a model.
    Model {
        /// Its name.
        name: String,
        /// Its version; empty for the newest.
        version: String,
    },
    /// Hold these adapters of the model and no others.
    Adapters {
        /// Their names.
        names: Vec<String>,
    },
    /// Serve prefill or decode.
    Role {
        /// `prefill` or `decode`.
        role: String,
    },
    /// Obey only this fencing number or later from now on.
    Fence,
}
