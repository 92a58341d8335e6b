//! Events and actions of a [`ClaimTracker`](crate::ClaimTracker), and the outcomes
//! it reports.

use crate::record::Answer;
use crate::record::HexHash;
use crate::record::ShardRecord;
use crate::shard::Shard;
use std::time;

/// Identifies a call at this agent until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A call that may run at most once.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier of the call at this agent.
    pub id: CallId,
    /// Shard to which the key belongs.
    pub shard: Shard,
    /// Hash of the organisation and its idempotency key.
    pub key: HexHash,
    /// Hash of the call's content.
    pub content: HexHash,
    /// Time until which the call may wait for its claim.
    pub deadline: time::Instant,
}

/// Result of reading a shard from the store.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadResult {
    /// The stored record and its revision; revision 0 and an empty record if there
    /// is none.
    Found(u64, ShardRecord),
    /// The read failed.
    Failed,
}

/// Result of writing a shard to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteResult {
    /// The record was written with this revision.
    Written(u64),
    /// The stored revision was not the expected one. Carries the current revision
    /// and record.
    Conflict(u64, ShardRecord),
    /// The write had no effect.
    NoEffect,
    /// The write may have had an effect.
    Unknown,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call was received.
    CallReceived(Call),
    /// A read of a shard ended.
    ShardRead(Shard, ReadResult),
    /// A write of a shard ended.
    ShardWritten(Shard, WriteResult),
    /// A call has run and got this answer.
    CallRan(CallId, Answer),
    /// A call has certainly not run, for this reason.
    CallNotRun(CallId, String),
    /// A call may have run; carries the reason why this is unknown.
    OutcomeUnknown(CallId, String),
    /// Time has passed.
    Timer,
}

/// What the caller of the state machine has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read a shard from the store.
    ReadShard(Shard),
    /// Write these bytes to a shard if its revision is still the given one.
    WriteShard(Shard, u64, Vec<u8>),
    /// Run the call now, exactly once.
    RunCall(CallId),
    /// Report a call's outcome to its caller.
    SendReply(CallId, CallOutcome),
}

/// Outcome of a call, as reported to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call has run and got this answer. The flag is true if the answer is
    /// replayed to a resent call.
    Answered(Answer, bool),
    /// No call with this key has run, neither this one nor an earlier one. Carries
    /// the reason.
    NotRun(String),
    /// This call has not run, for the given reason; whether an earlier one with the
    /// same key has is unknown.
    AttemptNotRun(String),
    /// The call may have run and is never run again. Carries the reason.
    Unknown(String),
    /// The key was used before with a different call.
    Mismatch,
}
