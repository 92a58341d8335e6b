//! The HTTP interface for callers: routes requests to their handlers,
//! authenticates them and reads their bodies.

use crate::entry::errors::ErrorResponse;
use crate::entry::model;
use crate::entry::plain;
use crate::entry::request::Api;
use crate::entry::state::Entry;
use std::sync;
use std::time;
use web::Handler;
use world::Configuration;
use world::Key;

/// Maximum time to receive the body of a request.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Maximum number of bytes read and discarded from a body that is too large, so
/// that the caller can finish sending and read the response.
const MAX_DISCARD_BYTES: usize = 32 * 1024 * 1024;

/// Handles the HTTP requests of callers.
pub(crate) struct HttpHandler {
    pub entry: sync::Arc<Entry>,
}

impl Handler for HttpHandler {
    async fn handle(
        &self,
        request: web::Request<web::Incoming>,
    ) -> Option<web::Response<web::Body>> {
        let result = self.route(request).await;
        Some(result.unwrap_or_else(|error| {
            metrics::counter!("hornbeampitch_refusals_total", "code" => error.code).increment(1);
            error.to_response()
        }))
    }
}

impl HttpHandler {
    async fn route(
        &self,
        request: web::Request<web::Incoming>,
    ) -> Result<web::Response<web::Body>, ErrorResponse> {
        let entry = &self.entry;
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        match (path.as_str(), method) {
            ("/v1/completions", web::Method::POST) => {
                model::handle(entry, Api::Completions, request).await
            }
            ("/v1/chat/completions", web::Method::POST) => {
                model::handle(entry, Api::Chat, request).await
            }
            ("/v1/models", web::Method::GET) => list_models(entry, &request),
            ("/v1/completions" | "/v1/chat/completions" | "/v1/models", _) => Err(
                ErrorResponse::not_run(405, "method_not_allowed", "this path has another method"),
            ),
            (path, _) if path.starts_with("/v1/") => {
                let message = format!("there is no {path} here");
                Err(ErrorResponse::not_run(404, "unknown_path", message))
            }
            _ => plain::handle(entry, request).await,
        }
    }
}

fn list_models(
    entry: &sync::Arc<Entry>,
    request: &web::Request<web::Incoming>,
) -> Result<web::Response<web::Body>, ErrorResponse> {
    let configuration = require_configuration(entry)?;
    authenticate(entry, &configuration.content, request.headers())?;
    let data: Vec<_> = configuration
        .content
        .upstreams
        .iter()
        .flat_map(|u| u.kind.model_names())
        .map(|model| serde_json::json!({ "id": &**model, "object": "model" }))
        .collect();
    let json = serde_json::json!({ "object": "list", "data": data });
    let response = web::Response::builder()
        .header(web::header::CONTENT_TYPE, "application/json")
        .body(web::full_body(json.to_string()))
        .expect("a response with valid headers can be built");
    Ok(response)
}

/// Returns the configuration in force, or fails with status 503 if none has been
/// received yet.
pub(crate) fn require_configuration(
    entry: &Entry,
) -> Result<sync::Arc<conf::ConfigurationRevision>, ErrorResponse> {
    entry.configuration().ok_or_else(|| {
        let message = "no configuration has been read yet";
        ErrorResponse::not_run(503, "unconfigured", message)
            .with_retry_after(time::Duration::from_secs(1))
    })
}

/// Finds the key that the request carries in its `Authorization` header. Fails
/// with status 401 if it is missing or invalid, and with status 503 if this
/// entry cannot tell which keys are valid.
pub(crate) fn authenticate(
    entry: &Entry,
    configuration: &Configuration,
    headers: &web::header::HeaderMap,
) -> Result<Key, ErrorResponse> {
    if !entry.can_authorize() {
        let message = "this entry is cut off and cannot tell whether keys are in force";
        return Err(ErrorResponse::not_run(503, "cut_off", message)
            .with_retry_after(time::Duration::from_secs(1)));
    }
    let token = header_text(headers, "authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| {
            ErrorResponse::not_run(401, "no_key", "a key is needed: `Authorization: Bearer …`")
        })?;
    conf::verify_key(configuration, token.trim())
        .cloned()
        .map_err(|e| ErrorResponse::not_run(401, "bad_key", e.to_string()))
}

/// Returns the value of a header, or `None` if it is missing or not visible ASCII.
pub(crate) fn header_text<'a>(headers: &'a web::header::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Reads a body of at most `limit` bytes. Fails with status 413 if it is larger
/// or cannot be read, and with status 408 if it takes longer than
/// [`BODY_TIMEOUT`].
pub(crate) async fn read_body(
    body: web::Incoming,
    headers: &web::header::HeaderMap,
    limit: usize,
) -> Result<bytes::Bytes, ErrorResponse> {
    let too_large = || {
        let message = format!("the body may have {limit} bytes at most");
        ErrorResponse::not_run(413, "body_too_large", message)
    };
    let content_length =
        header_text(headers, "content-length").and_then(|l| l.parse::<usize>().ok());
    if content_length.is_some_and(|length| length > limit) {
        let discarded = web::discard_body(body, MAX_DISCARD_BYTES);
        // The response is the same whether the rest of the body arrives or not.
        let _ = tokio::time::timeout(BODY_TIMEOUT, discarded).await;
        return Err(too_large());
    }
    match tokio::time::timeout(BODY_TIMEOUT, web::read_body(body, limit)).await {
        Ok(Some(bytes)) => Ok(bytes),
        Ok(None) => Err(too_large()),
        Err(_) => {
            let message = "the body did not arrive in time";
            Err(ErrorResponse::not_run(408, "body_too_slow", message))
        }
    }
}
