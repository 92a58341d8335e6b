//! What callers are told when they get no answer.

use std::time;

/// Whether a refused request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Execution {
    /// It has not, and no earlier sending of it has.
    NotRun,
    /// This sending has not; of earlier ones with its idempotency key nothing
    /// is known.
    NotThisAttempt,
    /// It may have.
    MaybeRun,
}

/// A refusal, with its HTTP status and whether the request has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ErrorResponse {
    pub status: u16,
    /// A word that programs can match.
    pub code: &'static str,
    /// The cause, for people.
    pub message: String,
    pub execution: Execution,
    pub retry_after: Option<time::Duration>,
}

impl ErrorResponse {
    /// Refuses before anything has run.
    pub(crate) fn not_run(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            execution: Execution::NotRun,
            retry_after: None,
        }
    }

    /// Reports a failure after something may have run.
    pub(crate) fn maybe_run(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            execution: Execution::MaybeRun,
            ..Self::not_run(status, code, message)
        }
    }

    /// Says no more than is known of a request with an idempotency key, which
    /// may have been sent before.
    pub(crate) fn for_this_attempt(mut self) -> Self {
        if self.execution == Execution::NotRun {
            self.execution = Execution::NotThisAttempt;
        }
        self
    }

    /// Says when to come back.
    pub(crate) fn with_retry_after(mut self, wait: time::Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// The JSON that callers get.
    pub(crate) fn to_json(&self) -> serde_json::Value {
        serde_json::json!({
            "error": {
                "message": self.message,
                "type": match self.status {
                    400..500 => "invalid_request_error",
                    _ => "server_error",
                },
                "code": self.code,
                "not_run": self.execution == Execution::NotRun,
                "this_sending_not_run": self.execution != Execution::MaybeRun,
            }
        })
    }

    /// The whole HTTP answer.
    pub(crate) fn to_response(&self) -> web::Response<web::Body> {
        let mut builder = web::Response::builder()
            .status(self.status)
            .header(web::header::CONTENT_TYPE, "application/json");
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
            builder = builder.header(web::header::RETRY_AFTER, seconds);
        }
        if self.status == 401 {
            builder = builder.header(web::header::WWW_AUTHENTICATE, "Bearer");
        }
        builder
            .body(web::whole(self.to_json().to_string()))
            .expect("a known head makes a response")
    }
}
