//! Error responses to callers.

use std::time;

/// Whether the request that failed has been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Execution {
    /// Neither this attempt nor any earlier one was executed.
    NotRun,
    /// This attempt was not executed. Earlier attempts with the same
    /// idempotency key may have been.
    NotThisAttempt,
    /// This attempt may have been executed.
    MaybeRun,
}

/// An error response with its HTTP status and whether the request was executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ErrorResponse {
    pub status: u16,
    /// Error code for programs.
    pub code: &'static str,
    /// Description of the error for people.
    pub message: String,
    pub execution: Execution,
    /// Time after which the caller may retry, if it is known.
    pub retry_after: Option<time::Duration>,
}

impl ErrorResponse {
    /// Creates the error response to a request of which nothing was executed.
    pub(crate) fn not_run(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            execution: Execution::NotRun,
            retry_after: None,
        }
    }

    /// Creates the error response to a request that may have been executed.
    pub(crate) fn maybe_run(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            execution: Execution::MaybeRun,
            ..Self::not_run(status, code, message)
        }
    }

    /// Limits the statement that nothing was executed to this attempt. This is
    /// needed for requests with an idempotency key, which may have been sent
    /// before.
    pub(crate) fn for_this_attempt(mut self) -> Self {
        if self.execution == Execution::NotRun {
            self.execution = Execution::NotThisAttempt;
        }
        self
    }

    /// Adds a `Retry-After` header, rounded up to whole seconds.
    pub(crate) fn with_retry_after(mut self, wait: time::Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Formats the JSON body of the response.
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

    /// Builds the complete HTTP response.
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
            .body(web::full_body(self.to_json().to_string()))
            .expect("a response with valid headers can be built")
    }
}
