//! Answers in the callers' usual JSON and server-sent events.

use crate::entry::ask::Ask;
use crate::entry::ask::Interface;
use crate::entry::errors::Refusal;
use route::Failure;
use serde_json::Value;

/// Writes the answers to one request.
pub(crate) struct Reply<'a> {
    pub ask: &'a Ask,
    pub request: &'a str,
}

impl Reply<'_> {
    /// One token as an event of the stream.
    pub(crate) fn text_event(&self, text: &str) -> String {
        let choice = match self.ask.interface {
            Interface::Completions => serde_json::json!({
                "index": 0, "text": text, "finish_reason": null,
            }),
            Interface::Chat => serde_json::json!({
                "index": 0, "delta": { "content": text }, "finish_reason": null,
            }),
        };
        event(&self.frame(true, choice))
    }

    /// The end of a stream.
    pub(crate) fn end_event(&self, finish: &str, tokens: u32) -> String {
        let choice = match self.ask.interface {
            Interface::Completions => serde_json::json!({
                "index": 0, "text": "", "finish_reason": finish,
            }),
            Interface::Chat => serde_json::json!({
                "index": 0, "delta": {}, "finish_reason": finish,
            }),
        };
        let mut frame = self.frame(true, choice);
        frame["usage"] = self.usage(tokens);
        format!("{}data: [DONE]\n\n", event(&frame))
    }

    /// A failure after the stream began: it ends without `[DONE]`.
    pub(crate) fn fail_event(&self, refusal: &Refusal) -> String {
        event(&refusal.json())
    }

    /// The whole answer at once.
    pub(crate) fn whole(&self, text: &str, finish: &str, tokens: u32) -> String {
        let choice = match self.ask.interface {
            Interface::Completions => serde_json::json!({
                "index": 0, "text": text, "finish_reason": finish,
            }),
            Interface::Chat => serde_json::json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": finish,
            }),
        };
        let mut frame = self.frame(false, choice);
        frame["usage"] = self.usage(tokens);
        frame.to_string()
    }

    fn frame(&self, chunk: bool, choice: Value) -> Value {
        let object = match (self.ask.interface, chunk) {
            (Interface::Completions, _) => "text_completion",
            (Interface::Chat, true) => "chat.completion.chunk",
            (Interface::Chat, false) => "chat.completion",
        };
        serde_json::json!({
            "id": self.request,
            "object": object,
            "model": &*self.ask.model,
            "choices": [choice],
        })
    }

    fn usage(&self, tokens: u32) -> Value {
        serde_json::json!({
            "prompt_tokens": self.ask.tokens,
            "completion_tokens": tokens,
            "total_tokens": self.ask.tokens + u64::from(tokens),
        })
    }
}

fn event(json: &Value) -> String {
    format!("data: {json}\n\n")
}

/// What a failed request's caller is told.
pub(crate) fn refusal_of(failure: Failure, untouched: bool) -> Refusal {
    let (status, code) = match failure {
        Failure::Quarantined => (422, "quarantined"),
        Failure::RetriesExhausted => (503, "no_engine"),
        Failure::TooLarge => (400, "too_large"),
        Failure::KeyWithdrawn => (401, "key_withdrawn"),
        Failure::CallerGone => (499, "caller_gone"),
    };
    match untouched {
        true => Refusal::not_run(status, code, failure.to_string()),
        false => Refusal::failed(status, code, failure.to_string()),
    }
}
