//! Trace spans, one for each hop of a request, linked by W3C trace context.

use crate::http_client::ExportClient;
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

/// The name of the tracer.
const TRACER_NAME: &str = "hornbeampitch";
/// How often batches of spans are sent.
const EXPORT_INTERVAL: time::Duration = time::Duration::from_secs(1);
const TRACEPARENT: &str = "traceparent";

/// Exports spans to the collector until it is dropped, which sends the remaining
/// spans.
pub struct TracingGuard {
    provider: Option<sdk::SdkTracerProvider>,
}

/// Starts to export spans over OTLP/HTTP to the collector at the given address.
///
/// Without a collector, or if the exporter can't be built, no spans are recorded.
pub fn start_tracing(collector: Option<net::SocketAddr>, host: &str, role: &str) -> TracingGuard {
    let Some(address) = collector else {
        return TracingGuard { provider: None };
    };
    let exporter = opentelemetry_otlp::SpanExporter::builder()
        .with_http()
        .with_protocol(opentelemetry_otlp::Protocol::HttpJson)
        .with_http_client(ExportClient::new())
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
        .with_scheduled_delay(EXPORT_INTERVAL)
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
            // An unreachable collector must not delay the exit of the process.
            let _ = provider.shutdown();
        }
    }
}

/// An open span for one hop of a request, which ends when it is dropped.
pub struct Span {
    context: Context,
}

impl Span {
    /// Starts a span under the parent that a W3C `traceparent` names, or a new
    /// trace if there is no valid one.
    pub fn start(name: &'static str, parent: Option<&str>) -> Self {
        let mut carrier = collections::HashMap::new();
        if let Some(parent) = parent {
            carrier.insert(TRACEPARENT.to_owned(), parent.to_owned());
        }
        let extractor: &dyn propagation::Extractor = &carrier;
        let parent = TraceContextPropagator::new().extract_with_context(&Context::new(), extractor);
        Self::with_parent(name, &parent)
    }

    /// Starts a child span of this one.
    pub fn child(&self, name: &'static str) -> Self {
        Self::with_parent(name, &self.context)
    }

    fn with_parent(name: &'static str, parent: &Context) -> Self {
        let tracer = global::tracer(TRACER_NAME);
        let builder = trace::SpanBuilder::from_name(name);
        let span = tracer.build_with_context(builder, parent);
        let is_recorded = trace::Span::span_context(&span).is_valid();
        // Without a collector the caller's context is propagated unchanged.
        let context = match is_recorded {
            true => parent.with_span(span),
            false => parent.clone(),
        };
        Self { context }
    }

    /// Sets an attribute of the span.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        self.context
            .span()
            .set_attribute(KeyValue::new(key, value.into()));
    }

    /// Sets the status of the span to an error with this reason.
    pub fn set_error(&self, reason: &str) {
        self.context
            .span()
            .set_status(trace::Status::error(reason.to_owned()));
    }

    /// Returns the `traceparent` to propagate; empty if there is no trace.
    pub fn traceparent(&self) -> String {
        let mut carrier = collections::HashMap::new();
        TraceContextPropagator::new().inject_context(&self.context, &mut carrier);
        carrier.remove(TRACEPARENT).unwrap_or_default()
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        self.context.span().end();
    }
}
