//! What a ledger hears, does and tells.

use crate::record::Answer;
use crate::record::KeyHash;
use crate::record::ShardRecord;
use crate::shard::Shard;
use std::time;

/// Names a call at this agent while it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A call that may run at most once.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its name here.
    pub id: CallId,
    /// Where its key belongs.
    pub shard: Shard,
    /// Its organisation and key.
    pub key: KeyHash,
    /// What it consists of.
    pub content: KeyHash,
    /// Until when its caller waits.
    pub deadline: time::Instant,
}

/// How a reading of a shard ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadResult {
    /// What stands there and its revision in the store; 0 where nothing does.
    Found(u64, ShardRecord),
    /// The store did not answer.
    Failed,
}

/// How a write of a shard ended.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteResult {
    /// It was written at this revision.
    Written(u64),
    /// Somebody else was first; this stands now.
    Conflict(u64, ShardRecord),
    /// The write had no effect.
    NoEffect,
    /// It may have had an effect.
    Unknown,
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call comes in.
    CallReceived(Call),
    /// A shard was read.
    ShardRead(Shard, ReadResult),
    /// A shard was written.
    ShardWritten(Shard, WriteResult),
    /// A call has run: its answer.
    CallRan(CallId, Answer),
    /// A call has surely not run.
    CallNotRun(CallId, String),
    /// A call may have run.
    OutcomeUnknown(CallId, String),
    /// Time passed.
    Timer,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read a shard from the store.
    ReadShard(Shard),
    /// Write a shard if its revision is still this one.
    WriteShard(Shard, u64, Vec<u8>),
    /// Run the call now, once.
    RunCall(CallId),
    /// Answer the call.
    SendReply(CallId, CallOutcome),
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call has run; this is its answer. The flag marks a resend.
    Answered(Answer, bool),
    /// The key has surely not run, neither by this call nor by an earlier one.
    NotRun(String),
    /// This call has surely not run; of an earlier one nothing is known.
    AttemptNotRun(String),
    /// The call may have run, and is never run again.
    Unknown(String),
    /// The key belongs to another call.
    Mismatch,
}
