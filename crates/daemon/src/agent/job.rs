//! The jobs of an agent's scheduler, their stages, and the scheduler's events.

use route::AttemptId;
use std::time;
use tokio::sync::mpsc;
use wire::border;

/// Sends the events of a decode job to its entry.
pub(crate) type DecodeSender = mpsc::UnboundedSender<border::DecodeEvent>;
/// Sends the events of a prefill job to its entry.
pub(crate) type PrefillSender = mpsc::UnboundedSender<border::PrefillEvent>;

/// An event that the scheduler handles.
pub(crate) enum Event {
    /// An entry bids for a decode seat.
    Bid(AttemptId, border::Bid, DecodeSender),
    /// An entry starts decoding with the seat that it was granted; the reply is
    /// whether its job still holds one.
    Start(border::Start, mpsc::UnboundedSender<bool>),
    /// An entry requests a prefill.
    Prefill(AttemptId, border::Prefill, PrefillSender),
    /// The entry has ended its subscription to a job, or has disconnected.
    Abandoned(AttemptId),
    /// The engine has imported a prefill result, which took this time.
    Imported(AttemptId, time::Duration),
    /// The engine's stream produced a token or its end.
    Token(AttemptId, engine::StreamEvent),
    /// The import failed, or the engine's stream ended.
    StreamEnd(AttemptId, Result<(), engine::EngineError>),
    /// The engine's prefill ended, after this time.
    PrefillEnd(
        AttemptId,
        Result<engine::PrefillResult, engine::EngineError>,
        time::Duration,
    ),
    /// The request of a cancelled job has been cancelled at the engine, or the engine
    /// is assumed to hold it no more.
    Cancelled(AttemptId),
    /// The engine has not answered a probe.
    ProbeFailed,
    /// The engine has answered a probe; it holds the requests with these ids.
    ProbeAnswered(Vec<String>),
    /// The request with this id, which belonged to no job, has been cancelled at the
    /// engine, or the engine is assumed to hold it no more.
    OrphanCancelled(String),
    /// The process is shutting down.
    Drain,
}

/// A decode or prefill that an entry has requested.
pub(crate) enum Job {
    Decode(DecodeJob),
    Prefill(PrefillJob),
}

impl Job {
    /// Id of the request at the engine.
    pub(crate) fn id(&self) -> &str {
        match self {
            Job::Decode(job) => &job.id,
            Job::Prefill(job) => &job.id,
        }
    }
}

/// A bid for a seat, and the decode that follows a granted bid.
pub(crate) struct DecodeJob {
    /// Id of the request at the engine.
    pub id: String,
    /// Id of the request at its entry.
    pub request: String,
    /// Number of the attempt at its entry.
    pub attempt: u32,
    /// Pieces of engine memory that the request needs.
    pub pieces: u32,
    pub sender: DecodeSender,
    pub stage: DecodeStage,
    /// When the last token arrived.
    pub last_token: Option<time::Instant>,
    /// Span of the current stage: queue, transfer or decode.
    pub span: Option<trace::Span>,
    /// The traceparent of the entry's span.
    pub parent: String,
}

/// Stage of a decode job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecodeStage {
    /// The bid waits for a seat.
    Waiting,
    /// The job holds a seat; the engine does not know the request yet.
    Granted,
    /// The engine imports the prefill result.
    Importing,
    /// The engine streams the answer; carries the number of tokens so far.
    Streaming(u32),
    /// The request is being cancelled at the engine.
    Cancelling,
}

/// A prompt to prefill.
pub(crate) struct PrefillJob {
    /// Id of the request at the engine.
    pub id: String,
    pub request: border::Prefill,
    pub sender: PrefillSender,
    pub stage: PrefillStage,
    /// Span of the current stage: queue or prefill.
    pub span: Option<trace::Span>,
}

/// Stage of a prefill job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PrefillStage {
    /// The prompt waits in the queue.
    Waiting,
    /// The engine prefills the prompt.
    Running,
    /// The result is kept at the engine until a decode engine has imported it.
    Ready,
    /// The request is being cancelled at the engine.
    Cancelling,
}
