//! Requests for a model, from the caller's body to the last event.

use crate::entry::admit;
use crate::entry::ask::Ask;
use crate::entry::ask::CLASS_HEADER;
use crate::entry::ask::Interface;
use crate::entry::core::Entry;
use crate::entry::errors::Refusal;
use crate::entry::http;
use crate::entry::reply;
use crate::entry::reply::Reply;
use crate::entry::runner::Caller;
use crate::entry::runner::Output;
use crate::entry::runner::Runner;
use bytes::Bytes;
use std::sync;
use std::time;
use tokio::sync::mpsc;

/// Most bytes of a request for a model.
const BODY_BYTES: usize = 4 * 1024 * 1024;

/// The part of the first-token target that admission may take.
const PATIENCE_PART: f64 = 2.0;
const MOST_PATIENCE: time::Duration = time::Duration::from_secs(10);

type Outputs = mpsc::UnboundedReceiver<Output>;

/// Answers one request for a model.
pub(crate) async fn answer(
    entry: &sync::Arc<Entry>,
    interface: Interface,
    request: web::Request<web::Incoming>,
) -> Result<web::Response<web::Body>, Refusal> {
    let (head, body) = request.into_parts();
    let revised = http::configured(entry)?;
    let key = http::authenticate(entry, &revised.contract, &head.headers)?;
    let class = http::header(&head.headers, CLASS_HEADER);
    let body = http::read(body, &head.headers, BODY_BYTES).await?;
    let ask = Ask::read(interface, &body, class, &revised.contract)?;
    let ask = sync::Arc::new(ask);
    let name = entry.name_request();
    let hop = trace::Hop::begin("entry", http::header(&head.headers, "traceparent"));
    hop.note("request", name.clone());
    hop.note("organisation", key.organisation.to_string());
    let wish = admit::Wish {
        organisation: &key.organisation,
        request: &name,
        tokens: ask.most(),
        patience: patience(&ask.class),
    };
    let charge = admit::admit(entry, wish).await?;
    let caller = Caller {
        request: name.clone(),
        key: key.id,
        organisation: key.organisation,
    };
    let (output, mut outputs) = mpsc::unbounded_channel();
    let runner = Runner::new(entry.clone(), ask.clone(), caller, charge, output, hop);
    tokio::spawn(runner.run());
    // The head waits for the first token, so that a failure before it still
    // has its own status.
    let first = outputs.recv().await;
    match first {
        Some(Output::Fail(failure, untouched)) => Err(reply::refusal_of(failure, untouched)),
        Some(first) if ask.stream => Ok(stream(ask, name, first, outputs)),
        Some(first) => collect(&ask, &name, first, outputs).await,
        None => Err(broken()),
    }
}

/// How long a request may wait for its organisation's tokens: a part of the
/// time to its first token.
fn patience(class: &world::Class) -> time::Duration {
    class.first().div_f64(PATIENCE_PART).min(MOST_PATIENCE)
}

fn stream(
    ask: sync::Arc<Ask>,
    name: String,
    first: Output,
    mut outputs: Outputs,
) -> web::Response<web::Body> {
    let (feed, body) = web::body_channel();
    let request = name.clone();
    tokio::spawn(async move {
        let reply = Reply {
            ask: &ask,
            request: &name,
        };
        let mut next = Some(first);
        while let Some(output) = next {
            let (event, last) = match output {
                Output::Text(text) => (reply.text_event(&text), false),
                Output::Finish(finish, tokens) => (reply.end_event(&finish, tokens), true),
                Output::Fail(failure, untouched) => {
                    let refusal = reply::refusal_of(failure, untouched);
                    (reply.fail_event(&refusal), true)
                }
            };
            // Returning drops the outputs, which tells the runner.
            if feed.send(Bytes::from(event)).await.is_err() || last {
                return;
            }
            next = tokio::select! {
                output = outputs.recv() => output,
                () = feed.closed() => return,
            };
        }
    });
    web::Response::builder()
        .header(web::header::CONTENT_TYPE, "text/event-stream")
        .header(web::header::CACHE_CONTROL, "no-store")
        .header("x-request-id", request)
        .body(body)
        .expect("a known head makes a response")
}

async fn collect(
    ask: &Ask,
    name: &str,
    first: Output,
    mut outputs: Outputs,
) -> Result<web::Response<web::Body>, Refusal> {
    let mut text = String::new();
    let mut next = Some(first);
    while let Some(output) = next {
        match output {
            Output::Text(token) => text += &token,
            Output::Finish(finish, tokens) => {
                let reply = Reply { ask, request: name };
                let json = reply.whole(&text, &finish, tokens);
                let response = web::Response::builder()
                    .header(web::header::CONTENT_TYPE, "application/json")
                    .header("x-request-id", name)
                    .body(web::whole(json))
                    .expect("a known head makes a response");
                return Ok(response);
            }
            Output::Fail(failure, untouched) => {
                return Err(reply::refusal_of(failure, untouched));
            }
        }
        next = outputs.recv().await;
    }
    Err(broken())
}

fn broken() -> Refusal {
    Refusal::failed(500, "internal", "the request broke off inside the entry")
}
