//! Events that a request's lifecycle handles, the actions that it returns, and its
//! stages.

use crate::fleet::PrefillChoice;
use crate::quarantine::CrashId;
use crate::quarantine::Digest;
use std::time;
use world::Name;

/// Why a bid, prefill or stream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The agent accepts no new requests.
    Draining,
    /// Nothing was received for too long.
    Stalled,
    /// The agent or its engine was lost.
    Lost,
    /// The engine crashed before the request got a first token there. Carries the
    /// sequence number of the crash, counted by that host's agent.
    Crashed(u64),
    /// The prefilled KV cache has expired.
    Expired,
    /// The engine can never accept this request.
    Invalid,
}

/// What happens to a request. The first `u32` is the round of bids, or for prefill
/// events the prefill attempt, that the event belongs to.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A host granted a seat.
    SeatGranted(u32, Name),
    /// The prefill is done: the prompt's tokens, and how many of them were cached.
    PrefillDone(u32, u64, u64),
    /// The prefill failed.
    PrefillFault(u32, Fault),
    /// The decode engine imported the KV cache; carries the time this took.
    ImportDone(u32, time::Duration),
    /// A token was received: its offset in the answer and its text.
    Chunk(u32, u32, String),
    /// The stream ended: the finish reason and the answer's number of tokens.
    StreamEnded(u32, String, u32),
    /// The bid, seat or stream at a host failed.
    DecodeFault(u32, Name, Fault),
    /// The caller disconnected.
    CallerGone,
    /// The caller's API key was withdrawn.
    KeyWithdrawn,
    /// The time set by [`Action::SetTimer`] has passed.
    TimerFired,
}

/// What the entry has to do. The first `u32` is the round of bids, or for prefill
/// actions the prefill attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Bid for a seat at a host.
    Bid(u32, Name),
    /// Release a bid, seat or stream at a host.
    Release(u32, Name),
    /// Prefill the prompt and the answer so far.
    Prefill(u32, PrefillChoice),
    /// Cancel a prefill or free its result.
    CancelPrefill(u32),
    /// Import the prefilled KV cache at the host of the seat, and stream the answer
    /// from this token offset on.
    StartDecode(u32, Name, u32),
    /// Send text to the caller.
    EmitText(String),
    /// The answer is complete: its finish reason and number of tokens.
    Finish(String, u32),
    /// The request has failed.
    Fail(Failure),
    /// Report to all other entries that this content crashed an engine.
    ReportCrash(Digest, CrashId),
    /// Send [`Event::TimerFired`] after this time.
    SetTimer(time::Duration),
}

/// Why a request failed for good; a [`Fault`] is the failure of a single attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Failure {
    /// The request is quarantined because it crashed engines.
    #[display("this request has crashed two upstreams and is run no more")]
    Quarantined,
    /// Too many attempts failed.
    #[display("the request was tried too often without success")]
    RetriesExhausted,
    /// The request needs more memory than any engine has.
    #[display("the request needs more memory than any engine has")]
    TooLarge,
    /// The API key was withdrawn while the request ran.
    #[display("the key was withdrawn")]
    KeyWithdrawn,
    /// The caller disconnected.
    #[display("the caller has gone")]
    CallerGone,
}

/// Stage of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It has bids at these hosts; with none, it waits for its timer to bid again.
    Waiting(Vec<Name>),
    /// It holds a seat and waits for a prefill agent or for the retry budget.
    SeatHeld(Name),
    /// It holds a seat at the first host while the second host prefills.
    Prefilling(Name, Name),
    /// The KV cache is transferred from the second host to the first.
    Importing(Name, Name),
    /// The host streams the answer.
    Streaming(Name),
    /// It has finished or failed.
    Finished,
}
