//! Relays calls to services other than models, without changing their method, path,
//! status or body.

use crate::entry::errors::ErrorResponse;
use crate::entry::http;
use crate::entry::state::Entry;
use base64::Engine;
use base64::engine::general_purpose;
use std::sync;
use std::time;
use wire::api::AgentClient;
use wire::border;
use world::Name;
use xxhash_rust::xxh3;

/// Maximum size of the body of a call.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Memory that a call takes while it is passed on, times its body: the body, its encoded form,
/// and the message to an agent.
const ENCODED_FACTOR: usize = 4;
/// Maximum time for a call, including all its attempts.
const MAX_CALL_TIME: time::Duration = time::Duration::from_secs(30);
/// Time reserved for the agent's answer to reach this entry.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(200);
/// Delay after all agents have been tried once, before they are tried again.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
/// Maximum number of bytes in an idempotency key.
const MAX_KEY_BYTES: usize = 255;
const KEY_HEADER: &str = "idempotency-key";
/// Header with the caller's timeout in milliseconds, at most [`MAX_CALL_TIME`].
const TIMEOUT_HEADER: &str = "x-hornbeampitch-timeout-ms";
/// Headers that are not forwarded in either direction: credentials, headers
/// that this system handles itself and those that apply to one connection only.
const DROPPED_HEADERS: [&str; 14] = [
    "authorization",
    "proxy-authorization",
    "cookie",
    "host",
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "traceparent",
    KEY_HEADER,
    TIMEOUT_HEADER,
];

/// The head of an HTTP request.
type RequestHead = web::Parts;

/// Condition under which a call may be sent to another agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryPolicy {
    /// The call may always be sent again, because it is idempotent.
    Always,
    /// The call may always be sent again, because the agents claim its idempotency key
    /// and so do not execute it twice.
    WithClaim,
    /// The call may be sent again only if it has certainly not been executed.
    OnlyIfNotRun,
}

/// Handles one call and returns the service's response.
pub(crate) async fn handle(
    entry: &sync::Arc<Entry>,
    request: web::Request<web::Incoming>,
) -> Result<web::Response<web::Body>, ErrorResponse> {
    let (head, body) = request.into_parts();
    let has_key = head.headers.contains_key(KEY_HEADER);
    let result = relay(entry, &head, body).await;
    match result {
        Ok(reply) => to_http_response(reply),
        Err(failed) if has_key && !failed.all_attempts => Err(failed.error.for_this_attempt()),
        Err(failed) => Err(failed.error),
    }
}

/// An error response to a call.
struct RelayError {
    error: ErrorResponse,
    /// Whether a statement of `error` that nothing was executed also covers earlier
    /// attempts with the same idempotency key.
    all_attempts: bool,
}

impl From<ErrorResponse> for RelayError {
    fn from(error: ErrorResponse) -> Self {
        Self {
            error,
            all_attempts: false,
        }
    }
}

async fn relay(
    entry: &sync::Arc<Entry>,
    head: &RequestHead,
    body: web::Incoming,
) -> Result<border::PlainReply, RelayError> {
    let configuration = http::require_configuration(entry)?;
    let route = configuration
        .content
        .route_for_path(head.uri.path())
        .ok_or_else(|| {
            let message = format!("no route leads to {}", head.uri.path());
            ErrorResponse::not_run(404, "unknown_path", message)
        })?;
    let organisation = match route.open {
        true => Name::from(""),
        false => http::authenticate(entry, &configuration.content, &head.headers)?.organisation,
    };
    let key = read_idempotency_key(&head.headers)?;
    let policy = match (route.is_repeatable(head.method.as_str()), &key) {
        (true, _) => RetryPolicy::Always,
        (false, Some(_)) => RetryPolicy::WithClaim,
        (false, None) => RetryPolicy::OnlyIfNotRun,
    };
    let body = http::read_body(body, head, MAX_BODY_BYTES, ENCODED_FACTOR).await?;
    let span = trace::Span::start("entry", http::header_text(&head.headers, "traceparent"));
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let call = border::PlainCall {
        request: entry.next_request_id(),
        organisation: organisation.to_string(),
        upstream: route.upstream.to_string(),
        method: head.method.to_string(),
        path: path.to_owned(),
        headers: forwarded_headers(&head.headers),
        body: general_purpose::STANDARD.encode(&body.bytes),
        claim: key.filter(|_| policy != RetryPolicy::Always),
        deadline: 0,
        trace: span.traceparent(),
    };
    let timeout = read_timeout(&head.headers)?;
    call_agents(entry, call, policy, timeout).await
}

fn read_idempotency_key(headers: &web::header::HeaderMap) -> Result<Option<String>, ErrorResponse> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().ok().map(str::trim);
    match text {
        Some(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(key.to_owned())),
        _ => {
            let message =
                format!("`Idempotency-Key` needs 1 to {MAX_KEY_BYTES} visible characters");
            Err(ErrorResponse::not_run(400, "bad_idempotency_key", message))
        }
    }
}

fn read_timeout(headers: &web::header::HeaderMap) -> Result<time::Duration, ErrorResponse> {
    let Some(text) = http::header_text(headers, TIMEOUT_HEADER) else {
        return Ok(MAX_CALL_TIME);
    };
    match text.parse() {
        Ok(millis) if millis > 0 => Ok(time::Duration::from_millis(millis).min(MAX_CALL_TIME)),
        _ => {
            let message = format!("`{TIMEOUT_HEADER}` must be a whole number above 0");
            Err(ErrorResponse::not_run(400, "bad_timeout", message))
        }
    }
}

fn forwarded_headers(headers: &web::header::HeaderMap) -> Vec<border::Header> {
    headers
        .iter()
        .filter(|(name, _)| !DROPPED_HEADERS.contains(&name.as_str()))
        .filter_map(|(name, value)| {
            Some(border::Header {
                name: name.as_str().to_owned(),
                value: value.to_str().ok()?.to_owned(),
            })
        })
        .collect()
}

/// Sends a call to an agent and, as far as `policy` permits, to further ones until
/// one of them responds or `timeout` has passed.
async fn call_agents(
    entry: &sync::Arc<Entry>,
    mut call: border::PlainCall,
    policy: RetryPolicy,
    timeout: time::Duration,
) -> Result<border::PlainReply, RelayError> {
    let deadline = time::Instant::now() + timeout;
    let mut tried: Vec<Name> = Vec::new();
    // Whether an agent may have executed the call.
    let mut maybe_run = false;
    // Whether an agent confirmed that no attempt with this idempotency key was ever
    // executed.
    let mut never_run = false;
    let mut reason = String::from("no agent of the service took the call");
    loop {
        let remaining = deadline.saturating_duration_since(time::Instant::now());
        let agent_time = remaining.saturating_sub(ANSWER_MARGIN);
        if agent_time.is_zero() {
            return Err(RelayError {
                error: timeout_error(maybe_run, &reason),
                all_attempts: never_run,
            });
        }
        call.deadline = u64::try_from(agent_time.as_millis()).unwrap_or(u64::MAX);
        let Some(host) = choose_agent(entry, &call, policy, &tried) else {
            tried.clear();
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let Some(link) = entry.peers.link(&host) else {
            tried.push(host);
            continue;
        };
        // The timeout here ends the call even if the agent is paused and does not
        // respond at its own deadline.
        let result = tokio::time::timeout(remaining, link.call(call.clone())).await;
        match (result, policy) {
            (
                Ok(Ok(border::PlainReply::NotRun {
                    reason: agent_reason,
                    retry,
                    certain,
                })),
                _,
            ) => {
                never_run |= certain;
                if !retry {
                    return Err(ErrorResponse::not_run(503, "not_run", agent_reason).into());
                }
                reason = agent_reason;
            }
            (Ok(Ok(border::PlainReply::Unknown { .. })), RetryPolicy::Always) => {}
            (Ok(Ok(reply)), _) => return Ok(reply),
            (Ok(Err(_)) | Err(_), RetryPolicy::OnlyIfNotRun) => {
                return Err(unknown_outcome("the agent was lost during the call").into());
            }
            (Ok(Err(_)) | Err(_), RetryPolicy::WithClaim) => maybe_run = true,
            (Ok(Err(_)) | Err(_), RetryPolicy::Always) => {}
        }
        tried.push(host);
    }
}

/// Chooses an agent that is not in `tried`. A call with a claim goes to the
/// agent to which rendezvous hashing assigns the claim's shard, so that one agent
/// writes the claims of a shard together. Any other call goes to the least loaded
/// agent.
fn choose_agent(
    entry: &Entry,
    call: &border::PlainCall,
    policy: RetryPolicy,
    tried: &[Name],
) -> Option<Name> {
    let mut placement = entry.placement.lock();
    if policy != RetryPolicy::WithClaim {
        return placement.fleet.choose_service(&call.upstream, tried);
    }
    let key = call.claim.as_deref().unwrap_or_default();
    let shard = once::shard_of(&call.organisation, key);
    placement
        .fleet
        .service_hosts(&call.upstream)
        .into_iter()
        .filter(|host| !tried.contains(host))
        .max_by_key(|host| xxh3::xxh3_64_with_seed(host.as_bytes(), u64::from(shard.0)))
}

fn timeout_error(maybe_run: bool, reason: &str) -> ErrorResponse {
    match maybe_run {
        true => unknown_outcome("agents were lost during the call"),
        false => ErrorResponse::not_run(503, "not_run", reason),
    }
}

fn unknown_outcome(message: &str) -> ErrorResponse {
    ErrorResponse::maybe_run(502, "outcome_unknown", message)
}

fn to_http_response(reply: border::PlainReply) -> Result<web::Response<web::Body>, ErrorResponse> {
    let (status, headers, body, replayed) = match reply {
        border::PlainReply::Answered {
            status,
            headers,
            body,
            replayed,
        } => (status, headers, body, replayed),
        border::PlainReply::NotRun { reason, .. } => {
            return Err(ErrorResponse::not_run(503, "not_run", reason));
        }
        border::PlainReply::Unknown { reason } => return Err(unknown_outcome(&reason)),
        border::PlainReply::Mismatch => {
            let message = "this idempotency key was used with another call";
            return Err(ErrorResponse::not_run(422, "key_reused", message).for_this_attempt());
        }
    };
    let body = general_purpose::STANDARD
        .decode(body)
        .map_err(|_| unknown_outcome("the agent's answer was damaged"))?;
    let mut builder = web::Response::builder().status(status);
    for header in headers {
        if !DROPPED_HEADERS.contains(&header.name.as_str()) {
            builder = builder.header(header.name, header.value);
        }
    }
    if replayed {
        builder = builder.header("idempotent-replayed", "true");
    }
    builder
        .body(web::full_body(body))
        .map_err(|_| unknown_outcome("the service's answer has an invalid head"))
}
