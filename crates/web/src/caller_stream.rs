//! What is recorded of a caller's stream and of the bodies of answers on it.

use crate::body::Body;
use crate::connection::CallerConnection;
use callers::StreamRecord;
use hyper::body;
use std::convert;
use std::pin;
use std::sync::Arc;
use std::task;

/// The body of an answer, whose end is recorded.
pub(crate) struct AnswerBody {
    pub(crate) body: Body,
    pub(crate) connection: Option<Arc<CallerConnection>>,
}

impl body::Body for AnswerBody {
    type Data = bytes::Bytes;
    type Error = convert::Infallible;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<bytes::Bytes>, convert::Infallible>>> {
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
impl Drop for AnswerBody {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.end_answer();
        }
    }
}

/// The record of a connection's stream; without a [`CallerConnection`], it records nothing.
pub(crate) struct CallerRecord(pub(crate) Option<Arc<CallerConnection>>);

impl StreamRecord for CallerRecord {
    fn take_widening(&self) -> bool {
        let connection = self.0.as_ref();
        connection.is_some_and(|c| c.slot().take_widening())
    }

    fn record_read(&self) {
        if let Some(connection) = &self.0 {
            connection.record_read();
        }
    }

    fn record_taking(&self, takes: bool) {
        if let Some(connection) = &self.0 {
            connection.record_taking(takes);
        }
    }

    fn record_sent(&self, _bytes: usize) {}

    fn record_flushed(&self) {
        if let Some(connection) = &self.0 {
            connection.record_flushed();
        }
    }
}
