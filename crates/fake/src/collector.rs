//! A collector of spans, by OTLP over HTTP in JSON.

use crate::site::Site;
use serde_json::Value;
use std::fmt::Write;
use std::net;
use std::sync;
use web::Handler;

/// The collector.
pub struct Collector {
    site: Site,
    spans: Spans,
    raw: Raw,
}

type Spans = sync::Arc<sync::Mutex<Vec<Span>>>;
type Raw = sync::Arc<sync::Mutex<String>>;

#[derive(Clone, Debug)]
struct Span {
    trace: String,
    id: String,
    parent: String,
    name: String,
    service: String,
    start: u64,
}

impl Collector {
    /// Starts an empty collector.
    pub fn start() -> Self {
        let spans = Spans::default();
        let raw = Raw::default();
        let answers = Answers {
            spans: spans.clone(),
            raw: raw.clone(),
        };
        let site = Site::start(crate::free_address(), answers);
        Self { site, spans, raw }
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.site.address
    }

    /// Everything that was sent, to search for what must not be there.
    pub fn dump(&self) -> String {
        self.raw.lock().expect("no panic holds it").clone()
    }

    /// Counts the spans of a trace.
    pub fn span_count(&self, trace: &str) -> usize {
        let spans = self.spans.lock().expect("no panic holds it");
        spans.iter().filter(|s| s.trace == trace).count()
    }

    /// Draws a trace below the caller's own span, in the order of beginnings.
    pub fn tree(&self, trace: &str, root: &str) -> String {
        let mut text = String::new();
        let mut spans = self.spans.lock().expect("no panic holds it").clone();
        spans.retain(|s| s.trace == trace);
        spans.sort_by_key(|s| s.start);
        draw(&spans, root, 0, &mut text);
        text
    }
}

fn draw(spans: &[Span], parent: &str, depth: usize, text: &mut String) {
    for span in spans.iter().filter(|s| s.parent == parent) {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{}{} at {}",
            "  ".repeat(depth),
            span.name,
            span.service
        );
        draw(spans, &span.id, depth + 1, text);
    }
}

struct Answers {
    spans: Spans,
    raw: Raw,
}

impl Handler for Answers {
    async fn handle(
        &self,
        request: web::Request<web::Incoming>,
    ) -> Option<web::Response<web::Body>> {
        let body = web::read_body(request.into_body(), 16 << 20).await?;
        let text = String::from_utf8_lossy(&body);
        *self.raw.lock().expect("no panic holds it") += &text;
        let json: Value = serde_json::from_str(&text).ok()?;
        let mut found = Vec::new();
        for resource in json["resourceSpans"].as_array()? {
            let service = attribute(&resource["resource"]["attributes"], "service.name");
            for scope in resource["scopeSpans"].as_array()? {
                for span in scope["spans"].as_array()? {
                    found.push(read_span(span, &service));
                }
            }
        }
        self.spans.lock().expect("no panic holds it").extend(found);
        Some(web::Response::new(web::full_body("{}")))
    }
}

fn read_span(span: &Value, service: &str) -> Span {
    let text = |field: &str| span[field].as_str().unwrap_or_default().to_owned();
    Span {
        trace: text("traceId"),
        id: text("spanId"),
        parent: text("parentSpanId"),
        name: text("name"),
        service: service.to_owned(),
        start: text("startTimeUnixNano").parse().unwrap_or(0),
    }
}

fn attribute(attributes: &Value, key: &str) -> String {
    let found = attributes
        .as_array()
        .and_then(|all| all.iter().find(|a| a["key"] == key));
    let value = found.and_then(|a| a["value"]["stringValue"].as_str());
    value.unwrap_or_default().to_owned()
}
