//! What callers are told when they get no answer.

use std::time;

/// A refusal, with its HTTP status and whether the request has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub status: u16,
    /// A word that programs can match.
    pub code: &'static str,
    /// The cause, for people.
    pub message: String,
    /// True only where no upstream has seen the request.
    pub not_run: bool,
    pub retry_after: Option<time::Duration>,
}

impl Refusal {
    /// Refuses before anything has run.
    pub(crate) fn not_run(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            not_run: true,
            retry_after: None,
        }
    }

    /// Reports a failure after something may have run.
    pub(crate) fn failed(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            not_run: false,
            ..Self::not_run(status, code, message)
        }
    }

    /// Says when to come back.
    pub(crate) fn after(mut self, wait: time::Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// The JSON that callers get.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::json!({
            "error": {
                "message": self.message,
                "type": match self.status {
                    400..500 => "invalid_request_error",
                    _ => "server_error",
                },
                "code": self.code,
                "not_run": self.not_run,
            }
        })
    }

    /// The whole HTTP answer.
    pub(crate) fn response(&self) -> web::Response<web::Body> {
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
            .body(web::whole(self.json().to_string()))
            .expect("a known head makes a response")
    }
}
