//! Handles a request for a model, from reading the body to sending the last
//! event.

use crate::entry::admit;
use crate::entry::errors::ErrorResponse;
use crate::entry::http;
use crate::entry::request::Api;
use crate::entry::request::CLASS_HEADER;
use crate::entry::request::ModelRequest;
use crate::entry::response;
use crate::entry::response::ResponseFormatter;
use crate::entry::runner::Caller;
use crate::entry::runner::Output;
use crate::entry::runner::RequestRunner;
use crate::entry::state::Entry;
use bytes::Bytes;
use std::sync;
use std::time;
use tokio::sync::mpsc;

/// Maximum size of the body of a request for a model.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Memory that a request takes while it is parsed and passed on, times its body: the body, its
/// parsed form, the prompt, and the message to an agent.
const PARSED_FACTOR: usize = 4;

/// A request may wait for admission for its first-token target divided by this number.
const ADMISSION_WAIT_DIVISOR: f64 = 2.0;
/// Maximum time to wait for admission.
const MAX_ADMISSION_WAIT: time::Duration = time::Duration::from_secs(10);

type OutputReceiver = mpsc::UnboundedReceiver<Output>;

/// Handles one request for a model: authenticates and admits it, starts its runner,
/// and returns the answer as a stream or as one response.
pub(crate) async fn handle(
    entry: &sync::Arc<Entry>,
    api: Api,
    http_request: web::Request<web::Incoming>,
) -> Result<web::Response<web::Body>, ErrorResponse> {
    let (head, body) = http_request.into_parts();
    let configuration = http::require_configuration(entry)?;
    let key = http::authenticate(entry, &configuration.content, &head.headers)?;
    let class = http::header_text(&head.headers, CLASS_HEADER);
    let body = http::read_body(body, &head, MAX_BODY_BYTES, PARSED_FACTOR).await?;
    let request = ModelRequest::parse(api, &body.bytes, class, &configuration.content)?;
    let request = sync::Arc::new(request);
    let request_id = entry.next_request_id();
    let span = trace::Span::start("entry", http::header_text(&head.headers, "traceparent"));
    span.set_attribute("request", request_id.clone());
    span.set_attribute("organisation", key.organisation.to_string());
    let admission = admit::AdmissionRequest {
        organisation: &key.organisation,
        request_id: &request_id,
        tokens: request.token_limit(),
        max_wait: admission_wait(&request.class),
    };
    let charge = admit::admit(entry, admission).await?;
    let caller = Caller {
        request_id: request_id.clone(),
        key_id: key.id,
        organisation: key.organisation,
        held: body.held,
    };
    let (output_sender, mut outputs) = mpsc::unbounded_channel();
    let runner = RequestRunner::new(
        entry.clone(),
        request.clone(),
        caller,
        charge,
        output_sender,
        span,
    );
    tokio::spawn(runner.run());
    // The response head is sent only with the first output, so that a failure
    // before the first token can still have its own status.
    let first = outputs.recv().await;
    match first {
        Some(Output::Fail(failure, not_run)) => Err(response::failure_response(failure, not_run)),
        Some(first) if request.stream => Ok(stream_response(request, request_id, first, outputs)),
        Some(first) => collect_response(&request, &request_id, first, outputs).await,
        None => Err(internal_error()),
    }
}

/// Returns how long a request may wait for tokens of its organisation's allowance:
/// half of its first-token target, but at most [`MAX_ADMISSION_WAIT`].
fn admission_wait(class: &world::Class) -> time::Duration {
    class
        .first_token_target()
        .div_f64(ADMISSION_WAIT_DIVISOR)
        .min(MAX_ADMISSION_WAIT)
}

fn stream_response(
    request: sync::Arc<ModelRequest>,
    request_id: String,
    first: Output,
    mut outputs: OutputReceiver,
) -> web::Response<web::Body> {
    let (body_sender, body) = web::body_channel();
    let header_id = request_id.clone();
    tokio::spawn(async move {
        let formatter = ResponseFormatter {
            request: &request,
            id: &request_id,
        };
        let mut next = Some(first);
        while let Some(output) = next {
            let (event, last) = match output {
                Output::Text(text) => (formatter.token_event(&text), false),
                Output::Finish(finish_reason, tokens) => {
                    (formatter.end_event(&finish_reason, tokens), true)
                }
                Output::Fail(failure, not_run) => {
                    let error = response::failure_response(failure, not_run);
                    (formatter.error_event(&error), true)
                }
            };
            // Returning drops `outputs`, by which the runner detects that the caller
            // has disconnected.
            if body_sender.send(Bytes::from(event)).await.is_err() || last {
                return;
            }
            next = tokio::select! {
                output = outputs.recv() => output,
                () = body_sender.closed() => return,
            };
        }
    });
    web::Response::builder()
        .header(web::header::CONTENT_TYPE, "text/event-stream")
        .header(web::header::CACHE_CONTROL, "no-store")
        .header("x-request-id", header_id)
        .body(body)
        .expect("a response with valid headers can be built")
}

async fn collect_response(
    request: &ModelRequest,
    request_id: &str,
    first: Output,
    mut outputs: OutputReceiver,
) -> Result<web::Response<web::Body>, ErrorResponse> {
    let mut text = String::new();
    let mut next = Some(first);
    while let Some(output) = next {
        match output {
            Output::Text(token) => text += &token,
            Output::Finish(finish_reason, tokens) => {
                let formatter = ResponseFormatter {
                    request,
                    id: request_id,
                };
                let json = formatter.format_body(&text, &finish_reason, tokens);
                let response = web::Response::builder()
                    .header(web::header::CONTENT_TYPE, "application/json")
                    .header("x-request-id", request_id)
                    .body(web::full_body(json))
                    .expect("a response with valid headers can be built");
                return Ok(response);
            }
            Output::Fail(failure, not_run) => {
                return Err(response::failure_response(failure, not_run));
            }
        }
        next = outputs.recv().await;
    }
    Err(internal_error())
}

fn internal_error() -> ErrorResponse {
    ErrorResponse::maybe_run(500, "internal", "the request broke off inside the entry")
}
