//! Fake trace collector that receives spans by OTLP over HTTP in JSON.

use crate::test_server::TestServer;
use serde_json::Value;
use std::fmt::Write;
use std::net;
use std::sync;
use web::Handler;

/// Keeps all spans that it receives in memory.
pub struct Collector {
    server: TestServer,
    spans: Spans,
    raw_text: RawText,
}

type Spans = sync::Arc<sync::Mutex<Vec<Span>>>;
type RawText = sync::Arc<sync::Mutex<String>>;

#[derive(Clone, Debug)]
struct Span {
    trace_id: String,
    span_id: String,
    parent_id: String,
    name: String,
    service: String,
    start_ns: u64,
}

impl Collector {
    /// Starts a collector without spans.
    pub fn start() -> Self {
        let spans = Spans::default();
        let raw_text = RawText::default();
        let handler = ExportHandler {
            spans: spans.clone(),
            raw_text: raw_text.clone(),
        };
        let server = TestServer::start(crate::free_address(), handler);
        Self {
            server,
            spans,
            raw_text,
        }
    }

    /// Returns the address that the collector listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Returns the bodies of all requests as one text, so that a test can check that
    /// they contain no secret.
    pub fn dump(&self) -> String {
        self.raw_text
            .lock()
            .expect("the mutex is not poisoned")
            .clone()
    }

    /// Returns the number of spans of a trace.
    pub fn span_count(&self, trace: &str) -> usize {
        let spans = self.spans.lock().expect("the mutex is not poisoned");
        spans.iter().filter(|s| s.trace_id == trace).count()
    }

    /// Renders a trace as an indented tree without its root span, whose id is `root`.
    /// Siblings are ordered by their start time.
    pub fn tree(&self, trace: &str, root: &str) -> String {
        let mut text = String::new();
        let mut spans = self
            .spans
            .lock()
            .expect("the mutex is not poisoned")
            .clone();
        spans.retain(|s| s.trace_id == trace);
        spans.sort_by_key(|s| s.start_ns);
        render_children(&spans, root, 0, &mut text);
        text
    }
}

/// Appends all descendants of the span `parent` to `text`, one line each.
fn render_children(spans: &[Span], parent: &str, depth: usize, text: &mut String) {
    for span in spans.iter().filter(|s| s.parent_id == parent) {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{}{} at {}",
            "  ".repeat(depth),
            span.name,
            span.service
        );
        render_children(spans, &span.span_id, depth + 1, text);
    }
}

/// Serves the export requests of OTLP.
struct ExportHandler {
    spans: Spans,
    raw_text: RawText,
}

impl Handler for ExportHandler {
    async fn handle(
        &self,
        request: web::Request<web::Incoming>,
    ) -> Option<web::Response<web::Body>> {
        let body = web::read_body(request.into_body(), 16 << 20).await?;
        let text = String::from_utf8_lossy(&body);
        *self.raw_text.lock().expect("the mutex is not poisoned") += &text;
        let json: Value = serde_json::from_str(&text).ok()?;
        let mut received = Vec::new();
        for resource in json["resourceSpans"].as_array()? {
            let service = attribute(&resource["resource"]["attributes"], "service.name");
            for scope in resource["scopeSpans"].as_array()? {
                for span in scope["spans"].as_array()? {
                    received.push(parse_span(span, &service));
                }
            }
        }
        self.spans
            .lock()
            .expect("the mutex is not poisoned")
            .extend(received);
        Some(web::Response::new(web::full_body("{}")))
    }
}

fn parse_span(span: &Value, service: &str) -> Span {
    let text = |field: &str| span[field].as_str().unwrap_or_default().to_owned();
    Span {
        trace_id: text("traceId"),
        span_id: text("spanId"),
        parent_id: text("parentSpanId"),
        name: text("name"),
        service: service.to_owned(),
        start_ns: text("startTimeUnixNano").parse().unwrap_or(0),
    }
}

/// Returns the string value of an attribute; empty if there is none.
fn attribute(attributes: &Value, key: &str) -> String {
    let matching = attributes
        .as_array()
        .and_then(|all| all.iter().find(|a| a["key"] == key));
    let value = matching.and_then(|a| a["value"]["stringValue"].as_str());
    value.unwrap_or_default().to_owned()
}
