//! Calls of plain services, relayed with method, path, status and body kept.

use crate::entry::core::Entry;
use crate::entry::errors::Refusal;
use crate::entry::http;
use base64::Engine;
use base64::engine::general_purpose;
use std::sync;
use std::time;
use wire::api::AgentClient;
use wire::border;
use world::Name;
use xxhash_rust::xxh3;

/// Most bytes of a call's body.
const BODY_BYTES: usize = 1024 * 1024;
/// Most time for a whole call, retries included.
const CALL_LIMIT: time::Duration = time::Duration::from_secs(30);
/// Time kept for an agent's answer to come back.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(200);
const RETRY_WAIT: time::Duration = time::Duration::from_millis(100);
const KEY_BYTES: usize = 255;
const KEY_HEADER: &str = "idempotency-key";
/// How long the caller waits, in milliseconds, where that is less than usual.
const TIMEOUT_HEADER: &str = "x-hornbeampitch-timeout-ms";
/// Headers that end at this system: the key, and those of one connection.
const KEPT_BACK: [&str; 14] = [
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

/// A request without its body.
type Head = web::Parts;

/// How often a call may be given to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Repeat {
    /// As often as is needed.
    Freely,
    /// Again only with the claim that its key makes.
    ByClaim,
    /// Again only where it surely has not run.
    Never,
}

/// Answers one call.
pub(crate) async fn answer(
    entry: &sync::Arc<Entry>,
    request: web::Request<web::Incoming>,
) -> Result<web::Response<web::Body>, Refusal> {
    let (head, body) = request.into_parts();
    let may_be_resent = head.headers.contains_key(KEY_HEADER);
    let answered = relay(entry, &head, body).await;
    match answered {
        Ok(reply) => response(reply),
        Err(failed) if may_be_resent && !failed.certain => Err(failed.refusal.of_sending()),
        Err(failed) => Err(failed.refusal),
    }
}

/// A refusal, and whether what it says holds for earlier sendings as well.
struct Failed {
    refusal: Refusal,
    certain: bool,
}

impl From<Refusal> for Failed {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            certain: false,
        }
    }
}

async fn relay(
    entry: &sync::Arc<Entry>,
    head: &Head,
    body: web::Incoming,
) -> Result<border::PlainReply, Failed> {
    let revised = http::configured(entry)?;
    let route = revised.contract.route(head.uri.path()).ok_or_else(|| {
        let text = format!("no route leads to {}", head.uri.path());
        Refusal::not_run(404, "unknown_path", text)
    })?;
    let organisation = match route.open {
        true => Name::from(""),
        false => http::authenticate(entry, &revised.contract, &head.headers)?.organisation,
    };
    let key = read_key(&head.headers)?;
    let repeat = match (route.repeatable(head.method.as_str()), &key) {
        (true, _) => Repeat::Freely,
        (false, Some(_)) => Repeat::ByClaim,
        (false, None) => Repeat::Never,
    };
    let body = http::read(body, &head.headers, BODY_BYTES).await?;
    let hop = trace::Hop::begin("entry", http::header(&head.headers, "traceparent"));
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let call = border::PlainCall {
        request: entry.name_request(),
        organisation: organisation.to_string(),
        upstream: route.upstream.to_string(),
        method: head.method.to_string(),
        path: path.to_owned(),
        headers: kept_headers(&head.headers),
        body: general_purpose::STANDARD.encode(&body),
        claim: key.filter(|_| repeat != Repeat::Freely),
        deadline: 0,
        trace: hop.traceparent(),
    };
    let limit = read_limit(&head.headers)?;
    place(entry, call, repeat, limit).await
}

fn read_key(headers: &web::header::HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().ok().map(str::trim);
    match text {
        Some(key) if !key.is_empty() && key.len() <= KEY_BYTES => Ok(Some(key.to_owned())),
        _ => {
            let text = format!("`Idempotency-Key` needs 1 to {KEY_BYTES} visible characters");
            Err(Refusal::not_run(400, "bad_idempotency_key", text))
        }
    }
}

fn read_limit(headers: &web::header::HeaderMap) -> Result<time::Duration, Refusal> {
    let Some(text) = http::header(headers, TIMEOUT_HEADER) else {
        return Ok(CALL_LIMIT);
    };
    match text.parse() {
        Ok(millis) if millis > 0 => Ok(time::Duration::from_millis(millis).min(CALL_LIMIT)),
        _ => {
            let text = format!("`{TIMEOUT_HEADER}` must be a whole number above 0");
            Err(Refusal::not_run(400, "bad_timeout", text))
        }
    }
}

fn kept_headers(headers: &web::header::HeaderMap) -> Vec<border::Header> {
    headers
        .iter()
        .filter(|(name, _)| !KEPT_BACK.contains(&name.as_str()))
        .filter_map(|(name, value)| {
            Some(border::Header {
                name: name.as_str().to_owned(),
                value: value.to_str().ok()?.to_owned(),
            })
        })
        .collect()
}

/// Finds an agent for a call and, where that is allowed, another.
async fn place(
    entry: &sync::Arc<Entry>,
    mut call: border::PlainCall,
    repeat: Repeat,
    limit: time::Duration,
) -> Result<border::PlainReply, Failed> {
    let end = time::Instant::now() + limit;
    let mut tried: Vec<Name> = Vec::new();
    let mut unknown = false;
    let mut sure = false;
    let mut reason = String::from("no agent of the service took the call");
    loop {
        let left = end.saturating_duration_since(time::Instant::now());
        let given = left.saturating_sub(ANSWER_MARGIN);
        if given.is_zero() {
            return Err(Failed {
                refusal: out_of_time(unknown, &reason),
                certain: sure,
            });
        }
        call.deadline = u64::try_from(given.as_millis()).unwrap_or(u64::MAX);
        let Some(host) = choose(entry, &call, repeat, &tried) else {
            tried.clear();
            tokio::time::sleep(RETRY_WAIT).await;
            continue;
        };
        let Some(link) = entry.peers.link(&host) else {
            tried.push(host);
            continue;
        };
        // The limit bounds the call even where the agent is frozen.
        let answered = tokio::time::timeout(left, link.call(call.clone())).await;
        match (answered, repeat) {
            (
                Ok(Ok(border::PlainReply::NotRun {
                    reason: told,
                    retry,
                    certain,
                })),
                _,
            ) => {
                sure |= certain;
                if !retry {
                    return Err(Refusal::not_run(503, "not_run", told).into());
                }
                reason = told;
            }
            (Ok(Ok(border::PlainReply::Unknown { .. })), Repeat::Freely) => {}
            (Ok(Ok(reply)), _) => return Ok(reply),
            (Ok(Err(_)) | Err(_), Repeat::Never) => {
                return Err(outcome_unknown("the agent was lost during the call").into());
            }
            (Ok(Err(_)) | Err(_), Repeat::ByClaim) => unknown = true,
            (Ok(Err(_)) | Err(_), Repeat::Freely) => {}
        }
        tried.push(host);
    }
}

/// Chooses an agent: the home of the key for calls with a claim, so that its
/// claims are written together; else the least busy.
fn choose(entry: &Entry, call: &border::PlainCall, repeat: Repeat, tried: &[Name]) -> Option<Name> {
    let mut decisions = entry.decisions.lock();
    if repeat != Repeat::ByClaim {
        return decisions.fleet.choose_service(&call.upstream, tried);
    }
    let key = call.claim.as_deref().unwrap_or_default();
    let shard = once::shard_of(&call.organisation, key);
    decisions
        .fleet
        .services(&call.upstream)
        .into_iter()
        .filter(|host| !tried.contains(host))
        .max_by_key(|host| xxh3::xxh3_64_with_seed(host.as_bytes(), u64::from(shard.0)))
}

fn out_of_time(unknown: bool, reason: &str) -> Refusal {
    match unknown {
        true => outcome_unknown("agents were lost during the call"),
        false => Refusal::not_run(503, "not_run", reason),
    }
}

fn outcome_unknown(text: &str) -> Refusal {
    Refusal::failed(502, "outcome_unknown", text)
}

fn response(reply: border::PlainReply) -> Result<web::Response<web::Body>, Refusal> {
    let (status, headers, body, replayed) = match reply {
        border::PlainReply::Answered {
            status,
            headers,
            body,
            replayed,
        } => (status, headers, body, replayed),
        border::PlainReply::NotRun { reason, .. } => {
            return Err(Refusal::not_run(503, "not_run", reason));
        }
        border::PlainReply::Unknown { reason } => return Err(outcome_unknown(&reason)),
        border::PlainReply::Mismatch => {
            let text = "this idempotency key was used with another call";
            return Err(Refusal::not_run(422, "key_reused", text).of_sending());
        }
    };
    let body = general_purpose::STANDARD
        .decode(body)
        .map_err(|_| outcome_unknown("the agent's answer was damaged"))?;
    let mut builder = web::Response::builder().status(status);
    for header in headers {
        if !KEPT_BACK.contains(&header.name.as_str()) {
            builder = builder.header(header.name, header.value);
        }
    }
    if replayed {
        builder = builder.header("idempotent-replayed", "true");
    }
    builder
        .body(web::whole(body))
        .map_err(|_| outcome_unknown("the service's answer has an invalid head"))
}
