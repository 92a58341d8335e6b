//! What a caller's connection is doing, and how long it may go on so.

use crate::exchange::Exchange;
use crate::meters;
use crate::telemetry;
use callers::CallerSlot;
use std::cell;
use std::rc;
use std::time;
use tokio::sync;
use tokio::sync::watch;

/// A caller that sends a head for longer than the configuration allows, times this, has its
/// connection closed: the bytes may have been on their way for a while.
const HEAD_TIME_FACTOR: u32 = 2;

/// How much of the answer to the current request the connection has taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerStage {
    /// The head of the response isn't ready.
    Waiting,
    /// The head is ready, the body has not ended.
    Body,
    /// The body has ended, but bytes of it may be buffered for a slow caller.
    Buffered,
}

/// Activity of a caller's connection, which is closed once it is idle.
pub(crate) struct Activity<P: seam::Platform> {
    /// When the last answer ended, or the connection was opened.
    pub(crate) last_active: cell::Cell<time::Instant>,
    /// Idle limit of the current wait: the longest that was in force during it. The caller
    /// may not know of a shorter one yet, and its next request would cross the close.
    pub(crate) wait_limit: cell::Cell<time::Duration>,
    /// Wakes the connection's task if a wait is shorter than the one before.
    pub(crate) wait_shortened: sync::Notify,
    /// The idle limit in force.
    pub(crate) idle_limit: watch::Receiver<time::Duration>,
    /// The request whose answer has not been sent to its end.
    pub(crate) unanswered: cell::RefCell<Option<rc::Rc<Exchange<P>>>>,
    pub(crate) stage: cell::Cell<AnswerStage>,
    /// Whether the body of the last request was left unread.
    pub(crate) body_unread: cell::Cell<bool>,
    /// Bytes sent on this connection.
    pub(crate) sent_bytes: cell::Cell<u64>,
    /// Bytes that had been sent when the current request was read.
    pub(crate) first_byte: cell::Cell<u64>,
    /// When the head began that has not arrived to its end.
    pub(crate) head_began: cell::Cell<Option<time::Instant>>,
    /// Since when the caller has taken no bytes of an answer that are ready.
    pub(crate) blocked_since: cell::Cell<Option<time::Instant>>,
    /// The connection among those of its listener.
    pub(crate) slot: rc::Rc<CallerSlot>,
    /// Why the connection ended, for the log. A connection that the process leaves open
    /// when it exits has no other cause.
    pub(crate) cause: cell::Cell<&'static str>,
}

impl<P: seam::Platform> Activity<P> {
    pub(crate) fn new(idle_limit: watch::Receiver<time::Duration>, slot: CallerSlot) -> Self {
        let current_limit = *idle_limit.borrow();
        Self {
            wait_limit: cell::Cell::new(current_limit),
            wait_shortened: sync::Notify::new(),
            idle_limit,
            last_active: cell::Cell::new(time::Instant::now()),
            unanswered: cell::RefCell::new(None),
            stage: cell::Cell::new(AnswerStage::Waiting),
            body_unread: cell::Cell::new(false),
            sent_bytes: cell::Cell::new(0),
            first_byte: cell::Cell::new(0),
            head_began: cell::Cell::new(None),
            blocked_since: cell::Cell::new(None),
            slot: rc::Rc::new(slot),
            cause: cell::Cell::new("process_exit"),
        }
    }

    pub(crate) fn start_answer(&self, exchange: rc::Rc<Exchange<P>>) {
        *self.unanswered.borrow_mut() = Some(exchange);
        self.stage.set(AnswerStage::Waiting);
        self.first_byte.set(self.sent_bytes.get());
        self.head_began.set(None);
    }

    pub(crate) fn end_answer(&self) {
        *self.unanswered.borrow_mut() = None;
        self.set_stage(pool::CallerStage::Idle);
        self.last_active.set(time::Instant::now());
        let limit = *self.idle_limit.borrow();
        if self.wait_limit.replace(limit) > limit {
            self.wait_shortened.notify_one();
        }
    }

    /// Applies a changed idle limit to the current wait.
    pub(crate) fn extend_wait(&self) {
        let limit = *self.idle_limit.borrow();
        self.wait_limit.set(self.wait_limit.get().max(limit));
    }

    /// Returns how long the connection may still be idle. An answer that is on its way
    /// keeps it in use, however long that takes.
    pub(crate) fn time_left(&self) -> time::Duration {
        let idle_time = match self.unanswered.borrow().is_some() {
            true => time::Duration::ZERO,
            false => self.last_active.get().elapsed(),
        };
        self.wait_limit.get().saturating_sub(idle_time)
    }

    pub(crate) fn set_stage(&self, stage: pool::CallerStage) {
        self.slot.set_stage(stage);
    }

    /// Records that bytes have arrived. Those between two requests begin a head.
    pub(crate) fn record_read(&self) {
        self.slot.record_bytes();
        if self.unanswered.borrow().is_none() && self.head_began.get().is_none() {
            self.head_began.set(Some(time::Instant::now()));
            self.set_stage(pool::CallerStage::Unfinished);
        }
    }

    /// Records whether the caller takes the bytes that are ready for it.
    pub(crate) fn record_taking(&self, takes: bool) {
        let blocked_since = self.blocked_since.get();
        if takes == blocked_since.is_none() {
            return;
        }
        let now = time::Instant::now();
        self.blocked_since.set((!takes).then_some(now));
        self.set_stage(match takes {
            true => pool::CallerStage::Served,
            false => pool::CallerStage::Blocked,
        });
    }

    /// Returns how long the caller may still go on with its head, or take nothing of its
    /// answer, and why its connection is closed after that; none if it does neither.
    pub(crate) fn patience(
        &self,
        head_timeout: time::Duration,
    ) -> Option<(time::Duration, &'static str)> {
        let left =
            |since: time::Instant, limit: time::Duration| limit.saturating_sub(since.elapsed());
        let head = self.head_began.get();
        let head = head.map(|s| (left(s, head_timeout * HEAD_TIME_FACTOR), "head_overdue"));
        let blocked = self.blocked_since.get();
        let blocked = blocked.map(|s| (left(s, *self.idle_limit.borrow()), "answer_untaken"));
        head.into_iter().chain(blocked).min()
    }

    /// Returns whether the whole answer is on its way once nothing is buffered.
    pub(crate) fn has_buffered_answer(&self) -> bool {
        self.stage.get() == AnswerStage::Buffered && self.unanswered.borrow().is_some()
    }
}

/// Logs a request whose connection has ended before its answer. At most one line is
/// written for each request, and none for an idle connection.
impl<P: seam::Platform> Drop for Activity<P> {
    fn drop(&mut self) {
        let Some(exchange) = self.unanswered.take() else {
            return;
        };
        let cause = self.cause.get();
        meters::meters().connections_cut.add(cause, 1);
        exchange.meter.cut(cause);
        trace::LogLine::new("connection_cut")
            .with("request", exchange.id())
            .with("age_ms", telemetry::millis(exchange.arrived_at.elapsed()))
            .with("cause", cause)
            .with("bytes", self.sent_bytes.get() - self.first_byte.get())
            .info();
    }
}
