//! The HTTP interface for callers: routes requests to their handlers,
//! authenticates them and reads their bodies.

use crate::entry::errors::ErrorResponse;
use crate::entry::model;
use crate::entry::plain;
use crate::entry::request::Api;
use crate::entry::state::Entry;
use callers::HeldBody;
use callers::HeldBytes;
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

/// Delay after which a caller should retry whose body did not fit.
const ROOM_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

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

/// Reads a body of at most `limit` bytes that fits into the process's memory. Fails with
/// status 413 if it is larger or cannot be read, with status 408 if it takes longer than
/// [`BODY_TIMEOUT`], and with status 503 if there is no room for it. The request takes the
/// memory of its body times `memory_factor` while it is served.
pub(crate) async fn read_body(
    body: web::Incoming,
    head: &web::Parts,
    limit: usize,
    memory_factor: usize,
) -> Result<HeldBody, ErrorResponse> {
    let connection = caller_connection(head);
    let content_length =
        header_text(&head.headers, "content-length").and_then(|l| l.parse::<usize>().ok());
    if content_length.is_some_and(|length| length > limit) {
        connection.refuse_upload();
        let discarded = web::discard_body(body, MAX_DISCARD_BYTES);
        // The response is the same whether the rest of the body arrives or not.
        let _ = tokio::time::timeout(BODY_TIMEOUT, discarded).await;
        return Err(too_large(limit));
    }
    let mut held = connection.memory().hold();
    if !connection
        .hold_body(&mut held, content_length.unwrap_or(0))
        .await
    {
        return Err(no_room());
    }
    let collected = tokio::select! {
        collected = collect(body, &mut held, &connection, limit) => collected?,
        () = connection.refused() => return Err(no_room()),
    };
    let total = collected.len() * memory_factor;
    if !connection.hold_body(&mut held, total).await {
        return Err(no_room());
    }
    connection.end_upload();
    Ok(HeldBody {
        bytes: collected,
        held,
    })
}

/// Returns the connection that a request came on.
fn caller_connection(head: &web::Parts) -> sync::Arc<web::CallerConnection> {
    let connection = head.extensions.get::<sync::Arc<web::CallerConnection>>();
    connection
        .expect("the server of callers bounds its connections")
        .clone()
}

async fn collect(
    mut body: web::Incoming,
    held: &mut HeldBytes,
    connection: &web::CallerConnection,
    limit: usize,
) -> Result<bytes::Bytes, ErrorResponse> {
    let deadline = tokio::time::Instant::now() + BODY_TIMEOUT;
    let mut collected = web::CollectedBody::default();
    while let Some(chunk) = tokio::time::timeout_at(deadline, web::next_data(&mut body))
        .await
        .map_err(|_| too_slow())?
    {
        let bytes = chunk.map_err(|_| too_large(limit))?;
        let total = collected.length() + bytes.len();
        if total > limit {
            return Err(too_large(limit));
        }
        let capacity = web::collected_capacity(total);
        if !connection.hold_body(held, capacity).await {
            return Err(no_room());
        }
        collected.add(&bytes);
    }
    Ok(collected.join())
}

fn too_slow() -> ErrorResponse {
    let message = "the body did not arrive in time";
    ErrorResponse::not_run(408, "body_too_slow", message)
}

fn too_large(limit: usize) -> ErrorResponse {
    let message = format!("the body may have {limit} bytes at most");
    ErrorResponse::not_run(413, "body_too_large", message)
}

/// Returns the response to a request whose body the process can't hold beside the others.
fn no_room() -> ErrorResponse {
    let message = "this entry holds as many bodies as it has memory for";
    ErrorResponse::not_run(503, "no_room", message).with_retry_after(ROOM_RETRY_DELAY)
}
