//! What is recorded of a caller's stream and of the bodies of answers on it.

use crate::body::Body;
use crate::body::BodyAborted;
use crate::caller_activity::Activity;
use crate::caller_activity::AnswerStage;
use bytes::Bytes;
use callers::StreamRecord;
use hyper::body;
use std::pin;
use std::rc;
use std::task;

/// Body of a response, whose end is recorded.
pub(crate) struct CallerBody<P: seam::Platform> {
    pub(crate) body: Body,
    pub(crate) activity: rc::Rc<Activity<P>>,
}

impl<P: seam::Platform> body::Body for CallerBody<P> {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, BodyAborted>>> {
        pin::Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

/// The connection drops a body once it has taken all of it that is to be sent.
impl<P: seam::Platform> Drop for CallerBody<P> {
    fn drop(&mut self) {
        self.activity.stage.set(AnswerStage::Buffered);
    }
}

/// The record of a connection's stream, which counts the bytes sent and notes the end of an answer.
pub(crate) struct CallerRecord<P: seam::Platform>(pub(crate) rc::Rc<Activity<P>>);

impl<P: seam::Platform> StreamRecord for CallerRecord<P> {
    fn take_widening(&self) -> bool {
        self.0.slot.take_widening()
    }

    fn record_read(&self) {
        self.0.record_read();
    }

    fn record_taking(&self, takes: bool) {
        self.0.record_taking(takes);
    }

    fn record_sent(&self, bytes: usize) {
        let sent_bytes = self.0.sent_bytes.get() + bytes as u64;
        self.0.sent_bytes.set(sent_bytes);
    }

    fn record_flushed(&self) {
        if self.0.has_buffered_answer() {
            self.0.end_answer();
        }
    }
}
