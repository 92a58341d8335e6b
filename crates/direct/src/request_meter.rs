//! Counts each caller's request once, at its end, with its outcome.

use crate::meters;
use std::cell;

/// What a request asks for, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    Stream,
    Plain,
    /// No route was found for it, or looked for.
    Unrouted,
    /// A readiness check, which is not counted.
    Probe,
}

/// How a request ended, with its cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Answered(&'static str),
    /// A host's answer with a server error was passed on.
    Failed,
    /// The entry itself replied.
    Refused(&'static str),
    /// The caller has got no answer, or none that is complete.
    Cut(&'static str),
}

/// Outcome of a request, which is counted when this is dropped.
#[derive(Debug)]
pub(crate) struct RequestMeter {
    kind: cell::Cell<RequestKind>,
    outcome: cell::Cell<Option<Outcome>>,
}

impl RequestMeter {
    pub(crate) fn new() -> Self {
        Self {
            kind: cell::Cell::new(RequestKind::Unrouted),
            outcome: cell::Cell::new(None),
        }
    }

    pub(crate) fn set_kind(&self, kind: RequestKind) {
        self.kind.set(kind);
    }

    /// Records a complete answer that was on time, or late for this cause.
    pub(crate) fn answer(&self, cause: &'static str) {
        self.set_outcome(Outcome::Answered(cause));
    }

    pub(crate) fn fail(&self) {
        self.set_outcome(Outcome::Failed);
    }

    pub(crate) fn refuse(&self, reason: &'static str) {
        self.set_outcome(Outcome::Refused(reason));
    }

    pub(crate) fn cut(&self, cause: &'static str) {
        self.set_outcome(Outcome::Cut(cause));
    }

    /// The first cause of a cut stands: the connection's end follows from it.
    fn set_outcome(&self, outcome: Outcome) {
        if !matches!(self.outcome.get(), Some(Outcome::Cut(_))) {
            self.outcome.set(Some(outcome));
        }
    }
}

impl Drop for RequestMeter {
    fn drop(&mut self) {
        let meters = meters::meters();
        let counters = match self.kind.get() {
            RequestKind::Stream => &meters.stream_requests,
            RequestKind::Plain => &meters.plain_requests,
            RequestKind::Unrouted => &meters.unrouted_requests,
            RequestKind::Probe => return,
        };
        match self.outcome.get() {
            Some(Outcome::Answered(cause)) => counters.answered.add(cause, 1),
            Some(Outcome::Failed) => counters.failed.add("upstream_status", 1),
            Some(Outcome::Refused(reason)) => counters.refused.add(reason, 1),
            Some(Outcome::Cut(cause)) => counters.cut.add(cause, 1),
            None => counters.cut.add("closed", 1),
        }
    }
}
