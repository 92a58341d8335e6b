//! Parses and validates a caller's request for a model.

use crate::entry::errors::ErrorResponse;
use std::time;
use world::Class;
use world::Configuration;
use world::Name;
use world::UpstreamKind;

/// Maximum number of answer tokens if the caller sets no limit.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// The highest limit for answer tokens that a caller may set.
const MAX_ANSWER_TOKENS: u64 = 8_192;
/// Average number of bytes per token, for estimating the length of prompts.
const BYTES_PER_TOKEN: usize = 4;
/// Header that selects a class for one request instead of the upstream's
/// default.
pub(crate) const CLASS_HEADER: &str = "x-hornbeampitch-class";

/// The two APIs for requests to a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Api {
    Completions,
    Chat,
}

/// A valid request for a model.
#[derive(Clone, Debug)]
pub(crate) struct ModelRequest {
    pub api: Api,
    pub upstream: Name,
    pub model: Name,
    pub class: Class,
    /// The shortest target of any class for the time between tokens.
    pub strictest_target: time::Duration,
    pub prompt: String,
    /// Estimated number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of answer tokens.
    pub max_tokens: u32,
    /// Whether the caller wants the answer as a stream of events.
    pub stream: bool,
}

impl ModelRequest {
    /// Parses the body of a request. `class` is the value of [`CLASS_HEADER`],
    /// if present. Fails with status 404 for an unknown model and with status
    /// 400 for any other error in the request.
    pub(crate) fn parse(
        api: Api,
        body: &[u8],
        class: Option<&str>,
        configuration: &Configuration,
    ) -> Result<Self, ErrorResponse> {
        let json: serde_json::Value = serde_json::from_slice(body)
            .map_err(|e| ErrorResponse::not_run(400, "malformed_json", format!("the body: {e}")))?;
        if !json.is_object() {
            return Err(invalid_request("the body must be a JSON object"));
        }
        let model = string_field(&json, "model")?;
        let upstream = configuration.upstream_for_model(model).ok_or_else(|| {
            let message = format!("model `{model}` is not served here");
            ErrorResponse::not_run(404, "unknown_model", message)
        })?;
        let UpstreamKind::Model {
            class: default_class,
            ..
        } = &upstream.kind
        else {
            return Err(invalid_request("the upstream serves no model"));
        };
        let class = class.unwrap_or(default_class);
        let class = configuration.class(class).ok_or_else(|| {
            let message = format!("class `{class}` is not defined");
            ErrorResponse::not_run(400, "unknown_class", message)
        })?;
        let prompt = match api {
            Api::Completions => string_field(&json, "prompt")?.to_owned(),
            Api::Chat => chat_prompt(&json)?,
        };
        Ok(Self {
            api,
            upstream: upstream.name.clone(),
            model: model.into(),
            class: class.clone(),
            strictest_target: strictest_target(configuration),
            prompt_tokens: prompt.len().div_ceil(BYTES_PER_TOKEN) as u64,
            prompt,
            max_tokens: max_tokens(&json)?,
            stream: bool_field(&json, "stream")?,
        })
    }

    /// Returns the maximum number of tokens that the request may use, for prompt and
    /// answer together.
    pub(crate) fn token_limit(&self) -> u64 {
        self.prompt_tokens + u64::from(self.max_tokens)
    }
}

fn strictest_target(configuration: &Configuration) -> time::Duration {
    let targets = configuration.classes.iter().map(Class::token_gap_target);
    targets.min().unwrap_or(time::Duration::MAX)
}

fn invalid_request(message: impl Into<String>) -> ErrorResponse {
    ErrorResponse::not_run(400, "invalid_request", message)
}

fn string_field<'a>(json: &'a serde_json::Value, field: &str) -> Result<&'a str, ErrorResponse> {
    let value = json
        .get(field)
        .ok_or_else(|| invalid_request(format!("field `{field}` is missing")))?;
    match value.as_str() {
        Some("") => Err(invalid_request(format!(
            "field `{field}` must not be empty"
        ))),
        Some(text) => Ok(text),
        None => Err(invalid_request(format!("field `{field}` must be a string"))),
    }
}

fn bool_field(json: &serde_json::Value, field: &str) -> Result<bool, ErrorResponse> {
    match json.get(field) {
        None | Some(serde_json::Value::Null) => Ok(false),
        Some(serde_json::Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(invalid_request(format!(
            "field `{field}` must be true or false"
        ))),
    }
}

fn max_tokens(json: &serde_json::Value) -> Result<u32, ErrorResponse> {
    let value = json
        .get("max_tokens")
        .or_else(|| json.get("max_completion_tokens"));
    let max = match value {
        None | Some(serde_json::Value::Null) => DEFAULT_MAX_TOKENS,
        Some(value) => value
            .as_u64()
            .filter(|m| (1..=MAX_ANSWER_TOKENS).contains(m))
            .ok_or_else(|| {
                invalid_request(format!(
                    "field `max_tokens` must be a whole number from 1 to {MAX_ANSWER_TOKENS}"
                ))
            })?,
    };
    Ok(u32::try_from(max).unwrap_or(u32::MAX))
}

/// Joins the messages of a chat into one prompt, in the format of the engines'
/// chat template.
fn chat_prompt(json: &serde_json::Value) -> Result<String, ErrorResponse> {
    let messages = json
        .get("messages")
        .and_then(serde_json::Value::as_array)
        .filter(|m| !m.is_empty())
        .ok_or_else(|| invalid_request("field `messages` must be a list of messages"))?;
    let mut prompt = String::new();
    for (i, message) in messages.iter().enumerate() {
        let role = message.get("role").and_then(serde_json::Value::as_str);
        let content = message.get("content").and_then(serde_json::Value::as_str);
        let (Some(role), Some(content)) = (role, content) else {
            let message = format!("message {i} needs the strings `role` and `content`");
            return Err(invalid_request(message));
        };
        prompt += &format!("{role}: {content}\n");
    }
    prompt += "assistant: ";
    Ok(prompt)
}
