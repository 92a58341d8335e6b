//! Counters and histograms, and their text for whoever asks.

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use std::time;

/// Bounds of the histograms of times, in seconds.
const LATENCY_BUCKETS: [f64; 11] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.9, 2.0, 5.0, 14.0];

/// Starts to count; none where another recorder counts already.
pub(crate) fn install_recorder() -> Option<PrometheusHandle> {
    PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS)
        .and_then(PrometheusBuilder::install_recorder)
        .ok()
}

/// The word of an engine's part in logs.
pub(crate) fn role_label(role: Option<seam::Role>) -> &'static str {
    match role {
        Some(seam::Role::Prefill) => "prefill",
        Some(seam::Role::Decode) => "decode",
        None => "plain",
    }
}

/// Whole milliseconds for a log line.
pub(crate) fn millis(span: time::Duration) -> u128 {
    span.as_millis()
}
