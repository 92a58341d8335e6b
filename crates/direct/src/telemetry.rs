//! Metrics recorder and formatting helpers for logs.

use crate::metric;
use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use std::time;

/// Upper bounds of the latency histograms' buckets, in seconds.
const LATENCY_BUCKETS: [f64; 11] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.9, 2.0, 5.0, 14.0];

/// Upper bounds of the buckets of an actual value divided by its estimate.
const RATIO_BUCKETS: [f64; 11] = [0.1, 0.25, 0.5, 0.7, 0.9, 1.1, 1.4, 2.0, 3.0, 5.0, 10.0];

/// Installs the metrics recorder and returns the handle that renders its metrics,
/// or `None` if another recorder is installed already.
pub(crate) fn install_recorder() -> Option<PrometheusHandle> {
    PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS)
        .and_then(|builder| {
            let ratios = Matcher::Suffix(metric::RATIO_SUFFIX.to_owned());
            builder.set_buckets_for_metric(ratios, &RATIO_BUCKETS)
        })
        .and_then(PrometheusBuilder::install_recorder)
        .ok()
}

/// Returns the role of an upstream host as it is written in logs; hosts of plain
/// services have none.
pub(crate) fn role_label(role: Option<seam::Role>) -> &'static str {
    match role {
        Some(seam::Role::Prefill) => "prefill",
        Some(seam::Role::Decode) => "decode",
        None => "plain",
    }
}

/// Returns whole milliseconds for a log line.
pub(crate) fn millis(duration: time::Duration) -> u128 {
    duration.as_millis()
}
