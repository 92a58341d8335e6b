//! What an agent's desk works on, and the events that move it.

use route::AttemptId;
use std::time;
use tokio::sync::mpsc;
use wire::border;

/// Where the entry that asked hears of its job.
pub(crate) type DecodeOut = mpsc::UnboundedSender<border::DecodeEvent>;
/// Where the entry that asked hears of its job.
pub(crate) type PrefillOut = mpsc::UnboundedSender<border::PrefillEvent>;

/// What happens at an agent's desk.
pub(crate) enum Event {
    /// An entry bids for a seat.
    Bid(AttemptId, border::Bid, DecodeOut),
    /// The entry that holds a seat starts it; the answer tells whether it may.
    Start(border::Start, mpsc::UnboundedSender<bool>),
    /// An entry asks for a prefill.
    Prefill(AttemptId, border::Prefill, PrefillOut),
    /// The entry has dropped its job or has gone itself.
    Left(AttemptId),
    /// The engine has imported a result, after this time.
    Imported(AttemptId, time::Duration),
    /// The engine gave a token.
    Token(AttemptId, engine::StreamEvent),
    /// The engine's stream ended.
    StreamEnd(AttemptId, Result<(), engine::EngineError>),
    /// The engine's prefill ended, after this time.
    Prefilled(
        AttemptId,
        Result<engine::PrefillResult, engine::EngineError>,
        time::Duration,
    ),
    /// The engine has freed what a ticket held.
    Freed(AttemptId),
    /// The engine has not answered a look.
    Silent,
    /// The engine answers and holds these requests.
    Answers(Vec<String>),
    /// The engine has freed a request that no job here claims.
    Swept(String),
    /// The process stops.
    Drain,
}

/// One entry's work at this agent.
pub(crate) enum Job {
    Decode(DecodeJob),
    Prefill(PrefillJob),
}

impl Job {
    /// The request's id at the engine.
    pub(crate) fn id(&self) -> &str {
        match self {
            Job::Decode(job) => &job.id,
            Job::Prefill(job) => &job.id,
        }
    }
}

/// A bid, and what becomes of it.
pub(crate) struct DecodeJob {
    /// The request's id at the engine.
    pub id: String,
    pub request: String,
    pub attempt: u32,
    pub pieces: u32,
    pub out: DecodeOut,
    pub stage: DecodeStage,
    /// When its last token came.
    pub last: Option<time::Instant>,
    /// Its wait, then its stream, as spans.
    pub hop: Option<trace::Span>,
    pub parent: String,
}

/// Where a bid is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecodeStage {
    Waiting,
    /// The seat is held; the engine knows nothing yet.
    Granted,
    /// The engine imports.
    Importing,
    /// The engine streams; counts the tokens it has given.
    Streaming(u32),
    /// The engine has been told to free it.
    Cancelling,
}

/// A prompt, and what becomes of it.
pub(crate) struct PrefillJob {
    /// The request's id at the engine.
    pub id: String,
    pub ask: border::Prefill,
    pub out: PrefillOut,
    pub stage: PrefillStage,
    pub hop: Option<trace::Span>,
}

/// Where a prompt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PrefillStage {
    Waiting,
    /// The engine works.
    Running,
    /// The result waits for its import.
    Ready,
    /// The engine has been told to free it.
    Cancelling,
}
