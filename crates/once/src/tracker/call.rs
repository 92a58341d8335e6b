//! A call that the tracker has not answered yet, and the context of a step.

use crate::event::Action;
use crate::event::Call;
use crate::event::CallId;
use std::time;

/// A call that is not answered yet.
#[derive(Debug)]
pub(super) struct TrackedCall {
    pub(super) call: Call,
    pub(super) state: CallState,
    /// Why the call has not run.
    pub(super) reason: String,
    /// Number of reads and writes that the shard had started when the call arrived;
    /// their results may be older than the call.
    pub(super) io_before: u64,
    /// Whether a read or write started after the call's arrival has ended.
    pub(super) reread: bool,
    /// Whether the result of such a read or write showed the key as free.
    pub(super) key_free: bool,
    /// Resent calls that wait for the answer of this one.
    pub(super) resends: Vec<CallId>,
}

/// How far a call has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallState {
    /// It waits for the shard's record.
    Undecided,
    /// Its claim is being written.
    Claiming,
    /// It was started and has not ended yet.
    Running,
    /// It has certainly not run; this is being written, so that its key can be
    /// claimed again anywhere.
    Voiding,
    /// A resent call that waits for the answer of the first one.
    AwaitingFirst,
}

/// Time of a step and the actions decided in it so far.
pub(super) struct StepContext {
    pub(super) now: time::Instant,
    /// Time since the Unix epoch.
    pub(super) unix_time: time::Duration,
    pub(super) actions: Vec<Action>,
}
