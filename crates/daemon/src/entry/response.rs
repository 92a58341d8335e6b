//! Formats a model's answer as JSON or as server-sent events, in the format of the
//! API that the caller uses.

use crate::entry::errors::ErrorResponse;
use crate::entry::request::Api;
use crate::entry::request::ModelRequest;
use route::Failure;
use serde_json::Value;

/// Formats the answer to one request.
pub(crate) struct ResponseFormatter<'a> {
    pub request: &'a ModelRequest,
    /// Id of the request, which the caller gets as the id of the response.
    pub id: &'a str,
}

impl ResponseFormatter<'_> {
    /// Formats the event for one token of a stream.
    pub(crate) fn token_event(&self, text: &str) -> String {
        let choice = match self.request.api {
            Api::Completions => serde_json::json!({
                "index": 0, "text": text, "finish_reason": null,
            }),
            Api::Chat => serde_json::json!({
                "index": 0, "delta": { "content": text }, "finish_reason": null,
            }),
        };
        sse_event(&self.object(true, choice))
    }

    /// Formats the final events of a stream: the finish reason with the token counts,
    /// then `[DONE]`.
    pub(crate) fn end_event(&self, finish_reason: &str, tokens: u32) -> String {
        let choice = match self.request.api {
            Api::Completions => serde_json::json!({
                "index": 0, "text": "", "finish_reason": finish_reason,
            }),
            Api::Chat => serde_json::json!({
                "index": 0, "delta": {}, "finish_reason": finish_reason,
            }),
        };
        let mut object = self.object(true, choice);
        object["usage"] = self.usage(tokens);
        format!("{}data: [DONE]\n\n", sse_event(&object))
    }

    /// Formats the event for a failure after the stream has begun. Such a stream ends
    /// without `[DONE]`.
    pub(crate) fn error_event(&self, error: &ErrorResponse) -> String {
        sse_event(&error.to_json())
    }

    /// Formats the response body of a request that is not streamed.
    pub(crate) fn format_body(&self, text: &str, finish_reason: &str, tokens: u32) -> String {
        let choice = match self.request.api {
            Api::Completions => serde_json::json!({
                "index": 0, "text": text, "finish_reason": finish_reason,
            }),
            Api::Chat => serde_json::json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": finish_reason,
            }),
        };
        let mut object = self.object(false, choice);
        object["usage"] = self.usage(tokens);
        object.to_string()
    }

    fn object(&self, streamed: bool, choice: Value) -> Value {
        let object = match (self.request.api, streamed) {
            (Api::Completions, _) => "text_completion",
            (Api::Chat, true) => "chat.completion.chunk",
            (Api::Chat, false) => "chat.completion",
        };
        serde_json::json!({
            "id": self.id,
            "object": object,
            "model": &*self.request.model,
            "choices": [choice],
        })
    }

    fn usage(&self, tokens: u32) -> Value {
        serde_json::json!({
            "prompt_tokens": self.request.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": self.request.prompt_tokens + u64::from(tokens),
        })
    }
}

fn sse_event(json: &Value) -> String {
    format!("data: {json}\n\n")
}

/// Returns the error response for a failed request; `not_run` is true if no engine
/// has received the request.
pub(crate) fn failure_response(failure: Failure, not_run: bool) -> ErrorResponse {
    let (status, code) = match failure {
        Failure::Quarantined => (422, "quarantined"),
        Failure::RetriesExhausted => (503, "no_engine"),
        Failure::TooLarge => (400, "too_large"),
        Failure::KeyWithdrawn => (401, "key_withdrawn"),
        Failure::CallerGone => (499, "caller_gone"),
    };
    match not_run {
        true => ErrorResponse::not_run(status, code, failure.to_string()),
        false => ErrorResponse::maybe_run(status, code, failure.to_string()),
    }
}
