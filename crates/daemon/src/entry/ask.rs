//! Reads a caller's request for a model and finds what is wrong with it.

use crate::entry::errors::Refusal;
use std::time;
use world::Class;
use world::Contract;
use world::Kind;
use world::Name;

/// Tokens that an answer may have where the caller sets no limit.
const DEFAULT_MAX: u64 = 256;
/// Most tokens that a caller may ask for.
const MOST_MAX: u64 = 8_192;
/// Bytes that make up a token, for estimates.
const TOKEN_BYTES: usize = 4;
/// Names a class for one request, over the upstream's own.
pub(crate) const CLASS_HEADER: &str = "x-hornbeampitch-class";

/// Which of the two interfaces the caller speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Interface {
    Completions,
    Chat,
}

/// A valid request for a model.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub interface: Interface,
    pub upstream: Name,
    pub model: Name,
    pub class: Class,
    /// The strictest target between tokens of any class.
    pub strictest: time::Duration,
    pub prompt: String,
    /// Tokens of the prompt, estimated.
    pub tokens: u64,
    /// Most tokens of the answer.
    pub max: u32,
    pub stream: bool,
}

impl Ask {
    /// Reads the body of a request.
    pub(crate) fn read(
        interface: Interface,
        body: &[u8],
        class: Option<&str>,
        contract: &Contract,
    ) -> Result<Self, Refusal> {
        let json: serde_json::Value = serde_json::from_slice(body)
            .map_err(|e| Refusal::not_run(400, "malformed_json", format!("the body: {e}")))?;
        if !json.is_object() {
            return Err(invalid("the body must be a JSON object"));
        }
        let model = text(&json, "model")?;
        let upstream = contract.model(model).ok_or_else(|| {
            let text = format!("model `{model}` is not served here");
            Refusal::not_run(404, "unknown_model", text)
        })?;
        let Kind::Model { class: own, .. } = &upstream.kind else {
            return Err(invalid("the upstream serves no model"));
        };
        let class = class.unwrap_or(own);
        let class = contract.class(class).ok_or_else(|| {
            let text = format!("class `{class}` is not defined");
            Refusal::not_run(400, "unknown_class", text)
        })?;
        let prompt = match interface {
            Interface::Completions => text(&json, "prompt")?.to_owned(),
            Interface::Chat => chat_prompt(&json)?,
        };
        Ok(Self {
            interface,
            upstream: upstream.name.clone(),
            model: model.into(),
            class: class.clone(),
            strictest: strictest(contract),
            tokens: prompt.len().div_ceil(TOKEN_BYTES) as u64,
            prompt,
            max: max_tokens(&json)?,
            stream: flag(&json, "stream")?,
        })
    }

    /// Tokens that the request may use at most.
    pub(crate) fn most(&self) -> u64 {
        self.tokens + u64::from(self.max)
    }
}

fn strictest(contract: &Contract) -> time::Duration {
    let targets = contract.classes.iter().map(Class::token);
    targets.min().unwrap_or(time::Duration::MAX)
}

fn invalid(text: impl Into<String>) -> Refusal {
    Refusal::not_run(400, "invalid_request", text)
}

fn text<'a>(json: &'a serde_json::Value, field: &str) -> Result<&'a str, Refusal> {
    let value = json
        .get(field)
        .ok_or_else(|| invalid(format!("field `{field}` is missing")))?;
    match value.as_str() {
        Some("") => Err(invalid(format!("field `{field}` must not be empty"))),
        Some(text) => Ok(text),
        None => Err(invalid(format!("field `{field}` must be a string"))),
    }
}

fn flag(json: &serde_json::Value, field: &str) -> Result<bool, Refusal> {
    match json.get(field) {
        None | Some(serde_json::Value::Null) => Ok(false),
        Some(serde_json::Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(invalid(format!("field `{field}` must be true or false"))),
    }
}

fn max_tokens(json: &serde_json::Value) -> Result<u32, Refusal> {
    let value = json
        .get("max_tokens")
        .or_else(|| json.get("max_completion_tokens"));
    let max = match value {
        None | Some(serde_json::Value::Null) => DEFAULT_MAX,
        Some(value) => value
            .as_u64()
            .filter(|m| (1..=MOST_MAX).contains(m))
            .ok_or_else(|| {
                invalid(format!(
                    "field `max_tokens` must be a whole number from 1 to {MOST_MAX}"
                ))
            })?,
    };
    Ok(u32::try_from(max).unwrap_or(u32::MAX))
}

/// Writes a conversation as one prompt, as the engines' template does.
fn chat_prompt(json: &serde_json::Value) -> Result<String, Refusal> {
    let messages = json
        .get("messages")
        .and_then(serde_json::Value::as_array)
        .filter(|m| !m.is_empty())
        .ok_or_else(|| invalid("field `messages` must be a list of messages"))?;
    let mut prompt = String::new();
    for (i, message) in messages.iter().enumerate() {
        let role = message.get("role").and_then(serde_json::Value::as_str);
        let content = message.get("content").and_then(serde_json::Value::as_str);
        let (Some(role), Some(content)) = (role, content) else {
            let text = format!("message {i} needs the strings `role` and `content`");
            return Err(invalid(text));
        };
        prompt += &format!("{role}: {content}\n");
    }
    prompt += "assistant: ";
    Ok(prompt)
}
