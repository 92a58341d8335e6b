//! What callers are told when they get no answer.

use std::time;

/// Whether a refused request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ran {
    /// It has not, and no earlier sending of it has.
    Not,
    /// This sending has not; of earlier ones with its idempotency key nothing
    /// is known.
    NotThisSending,
    /// It may have.
    Perhaps,
}

/// A refusal, with its HTTP status and whether the request has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub status: u16,
    /// A word that programs can match.
    pub code: &'static str,
    /// The cause, for people.
    pub message: String,
    pub ran: Ran,
    pub retry_after: Option<time::Duration>,
}

impl Refusal {
    /// Refuses before anything has run.
    pub(crate) fn not_run(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            ran: Ran::Not,
            retry_after: None,
        }
    }

    /// Reports a failure after something may have run.
    pub(crate) fn failed(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            ran: Ran::Perhaps,
            ..Self::not_run(status, code, message)
        }
    }

    /// Says no more than is known of a request with an idempotency key, which
    /// may have been sent before.
    pub(crate) fn of_sending(mut self) -> Self {
        if self.ran == Ran::Not {
            self.ran = Ran::NotThisSending;
        }
        self
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
                "not_run": self.ran == Ran::Not,
                "this_sending_not_run": self.ran != Ran::Perhaps,
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
