//! Spans, one for each hop of a request, joined by W3C trace context.

use crate::sender::Sender;
use opentelemetry::Context;
use opentelemetry::KeyValue;
use opentelemetry::global;
use opentelemetry::propagation;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace;
use opentelemetry::trace::TraceContextExt;
use opentelemetry::trace::Tracer;
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_otlp::WithHttpConfig;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace as sdk;
use std::collections;
use std::net;
use std::time;

const LIBRARY: &str = "hornbeampitch";
const SEND_INTERVAL: time::Duration = time::Duration::from_secs(1);
const PARENT_HEADER: &str = "traceparent";

/// Keeps spans flowing to the collector; dropping it sends what is left.
pub struct TracingGuard {
    provider: Option<sdk::SdkTracerProvider>,
}

/// Begins to send spans to a collector of OTLP over HTTP, if there is one.
pub fn start_tracing(collector: Option<net::SocketAddr>, host: &str, role: &str) -> TracingGuard {
    let Some(address) = collector else {
        return TracingGuard { provider: None };
    };
    let exporter = opentelemetry_otlp::SpanExporter::builder()
        .with_http()
        .with_protocol(opentelemetry_otlp::Protocol::HttpJson)
        .with_http_client(Sender::new())
        .with_endpoint(format!("http://{address}/v1/traces"))
        .build();
    let Ok(exporter) = exporter else {
        return TracingGuard { provider: None };
    };
    let resource = opentelemetry_sdk::Resource::builder()
        .with_service_name(format!("hornbeampitch-{role}"))
        .with_attribute(KeyValue::new("host.name", host.to_owned()))
        .build();
    let batches = sdk::BatchConfigBuilder::default()
        .with_scheduled_delay(SEND_INTERVAL)
        .build();
    let processor = sdk::BatchSpanProcessor::builder(exporter)
        .with_batch_config(batches)
        .build();
    let provider = sdk::SdkTracerProvider::builder()
        .with_resource(resource)
        .with_span_processor(processor)
        .build();
    global::set_tracer_provider(provider.clone());
    TracingGuard {
        provider: Some(provider),
    }
}

impl Drop for TracingGuard {
    fn drop(&mut self) {
        if let Some(provider) = self.provider.take() {
            // A collector that is gone must not hold up a stop.
            let _ = provider.shutdown();
        }
    }
}

/// One hop of a request while it lasts; it ends when dropped.
pub struct Span {
    cx: Context,
}

impl Span {
    /// Begins a hop under the parent that a W3C traceparent names; without a
    /// valid one a new trace begins.
    pub fn start(name: &'static str, parent: Option<&str>) -> Self {
        let mut carrier = collections::HashMap::new();
        if let Some(parent) = parent {
            carrier.insert(PARENT_HEADER.to_owned(), parent.to_owned());
        }
        let extractor: &dyn propagation::Extractor = &carrier;
        let parent = TraceContextPropagator::new().extract_with_context(&Context::new(), extractor);
        Self::under(name, &parent)
    }

    /// Begins a hop within this one.
    pub fn child(&self, name: &'static str) -> Self {
        Self::under(name, &self.cx)
    }

    fn under(name: &'static str, parent: &Context) -> Self {
        let tracer = global::tracer(LIBRARY);
        let builder = trace::SpanBuilder::from_name(name);
        let span = tracer.build_with_context(builder, parent);
        let has_own = trace::Span::span_context(&span).is_valid();
        // Without a collector the caller's own context is passed on as it came.
        let cx = match has_own {
            true => parent.with_span(span),
            false => parent.clone(),
        };
        Self { cx }
    }

    /// Notes a fact.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        self.cx
            .span()
            .set_attribute(KeyValue::new(key, value.into()));
    }

    /// Notes a failure.
    pub fn set_error(&self, reason: &str) {
        self.cx
            .span()
            .set_status(trace::Status::error(reason.to_owned()));
    }

    /// The traceparent to send along; empty where there is no trace.
    pub fn traceparent(&self) -> String {
        let mut carrier = collections::HashMap::new();
        TraceContextPropagator::new().inject_context(&self.cx, &mut carrier);
        carrier.remove(PARENT_HEADER).unwrap_or_default()
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        self.cx.span().end();
    }
}
