//! Handles of the metrics, registered once, so that an event costs an atomic add.

use crate::metric;
use crate::metric::Counter;
use crate::metric::Gauge;
use crate::metric::Histogram;
use crate::metric::Metric;
use std::sync;

/// Label value for a cause that no list here has.
const OTHER: &str = "other";

/// Causes of an answer that was cut.
const CUT_CAUSES: &[&str] = &[
    "broken",
    "empty",
    "stalled",
    "oversized",
    "misordered",
    "caller_left",
    "overdue",
    "no_room",
];
/// Causes of a connection that was cut.
const CONNECTION_CAUSES: &[&str] = &[
    "caller_left",
    "caller_silent",
    "answer_aborted",
    "connection_error",
    "protocol_error",
    "closed",
    "closed_for_others",
    "head_overdue",
    "answer_untaken",
    "process_exit",
];
/// Causes of a request that was cut: by its answer, or else by its connection.
const REQUEST_CUT_CAUSES: &[&str] = &[
    "broken",
    "empty",
    "stalled",
    "oversized",
    "misordered",
    "overdue",
    "no_room",
    "caller_left",
    "caller_silent",
    "answer_aborted",
    "connection_error",
    "protocol_error",
    "closed",
    "closed_for_others",
    "head_overdue",
    "answer_untaken",
];
/// Reasons of the entry's own replies.
const REASONS: &[&str] = &[
    "head",
    "body",
    "body_late",
    "no_room",
    "unconfigured",
    "no_route",
    "no_key",
    "quarantined",
    "over_allowance",
    "no_service",
    "no_seat",
    "no_host",
    "hosts_paused",
    "timeout",
    "outcome_unknown",
    "stopping",
];
const ANSWER_CAUSES: &[&str] = &["on_time", "late_first_event", "late_pause", "late"];
const FAILURE_CAUSES: &[&str] = &["upstream_status"];
const RESPONSE_FAULTS: &[&str] = &[
    "no_id",
    "repeated_id",
    "no_seal",
    "repeated_seal",
    "encoded",
    "framing",
    "refusal_status",
    "status",
];
const ENDS: &[&str] = &[
    "whole",
    "broken",
    "empty",
    "stalled",
    "oversized",
    "misordered",
    "caller_left",
    "overdue",
];
const WASTE_CAUSES: &[&str] = &[
    "unused",
    "expired",
    "holder_lost",
    "prefill_late",
    "prefill_broken",
    "decode_failed",
    "interrupted",
    "answer_cut",
];
const STORE_CALLS: &[&str] = &[
    "get",
    "list",
    "watch",
    "swap",
    "remove",
    "grant_lease",
    "renew_lease",
    "revoke_lease",
];
const STORE_OUTCOMES: &[&str] = &[
    "done",
    "mismatch",
    "expired",
    "compacted",
    "refused",
    "no_response",
    "invalid_response",
    "outdated",
];

/// Counters of one metric for the values of a label. Their number is bounded, as a value
/// that is not listed counts as `other`.
pub(crate) struct CounterSet {
    values: &'static [&'static str],
    /// One for each value, and the one for all others.
    counters: Vec<Counter>,
}

impl CounterSet {
    fn new(metric: &Metric, label: &'static str, values: &'static [&'static str]) -> Self {
        Self::with_labels(metric, &[], label, values)
    }

    fn with_labels(
        metric: &Metric,
        fixed: &[(&'static str, &str)],
        label: &'static str,
        values: &'static [&'static str],
    ) -> Self {
        let counters = values.iter().chain([&OTHER]).map(|value| {
            let labels = [fixed, &[(label, *value)]].concat();
            metric.counter(&labels)
        });
        Self {
            values,
            counters: counters.collect(),
        }
    }

    pub(crate) fn add(&self, value: &str, count: u64) {
        let listed = self.values.iter().position(|v| *v == value);
        self.counters[listed.unwrap_or(self.values.len())].increment(count);
    }
}

/// Counters of requests of one kind.
pub(crate) struct RequestCounters {
    pub(crate) answered: CounterSet,
    pub(crate) failed: CounterSet,
    pub(crate) refused: CounterSet,
    pub(crate) cut: CounterSet,
}

impl RequestCounters {
    fn new(kind: &str) -> Self {
        let counters = |outcome, causes| {
            let fixed = [("kind", kind), ("outcome", outcome)];
            CounterSet::with_labels(&metric::REQUESTS, &fixed, "cause", causes)
        };
        Self {
            answered: counters("answered", ANSWER_CAUSES),
            failed: counters("failed", FAILURE_CAUSES),
            refused: counters("refused", REASONS),
            cut: counters("cut", REQUEST_CUT_CAUSES),
        }
    }
}

/// Handles of all metrics whose label values are fixed.
pub(crate) struct Meters {
    pub(crate) stream_requests: RequestCounters,
    pub(crate) plain_requests: RequestCounters,
    pub(crate) unrouted_requests: RequestCounters,
    /// The old counter of refusals.
    pub(crate) refusals: CounterSet,
    pub(crate) admission_hold: Histogram,
    pub(crate) seat_wait: Histogram,
    pub(crate) reservation: Histogram,
    pub(crate) prefill: Histogram,
    pub(crate) first_event: Histogram,
    pub(crate) stream_answer: Histogram,
    pub(crate) plain_answer: Histogram,
    pub(crate) reservations: CounterSet,
    pub(crate) pauses: Counter,
    pub(crate) engine_streams: CounterSet,
    pub(crate) resumptions: CounterSet,
    pub(crate) wasted_tokens: CounterSet,
    store_calls: Vec<CounterSet>,
    pub(crate) store_returns: Counter,
    pub(crate) outdated: CounterSet,
    pub(crate) unreadable: Counter,
    pub(crate) length_error: Histogram,
    pub(crate) prefill_error: Histogram,
    pub(crate) answers_cut: CounterSet,
    pub(crate) answers_unproven: CounterSet,
    pub(crate) connections_cut: CounterSet,
    pub(crate) evacuated_zones: Gauge,
    pub(crate) paced_hosts: Gauge,
    pub(crate) callers_closed: CounterSet,
    pub(crate) connections_closed: CounterSet,
    pub(crate) calls_withheld: CounterSet,
    pub(crate) host_notices: CounterSet,
    pub(crate) crashes: Counter,
    pub(crate) verdicts: CounterSet,
    pub(crate) active_verdicts: Gauge,
    pub(crate) config_version: Gauge,
}

/// Returns the handles, registered with the recorder at the first call. Before a recorder
/// is installed, handles would count nothing for good.
pub(crate) fn meters() -> &'static Meters {
    static METERS: sync::LazyLock<Meters> = sync::LazyLock::new(Meters::new);
    &METERS
}

impl Meters {
    fn new() -> Self {
        let stage = |name| metric::STAGES.histogram(&[("stage", name)]);
        let store_calls = STORE_CALLS.iter().map(|call| {
            let fixed = [("call", *call)];
            CounterSet::with_labels(&metric::STORE_CALLS, &fixed, "outcome", STORE_OUTCOMES)
        });
        let set = CounterSet::new;
        Self {
            stream_requests: RequestCounters::new("stream"),
            plain_requests: RequestCounters::new("plain"),
            unrouted_requests: RequestCounters::new("unrouted"),
            refusals: set(&metric::REFUSED, "reason", REASONS),
            admission_hold: stage("admission_hold"),
            seat_wait: stage("seat_wait"),
            reservation: stage("reservation"),
            prefill: stage("prefill"),
            first_event: metric::FIRST_EVENT.histogram(&[]),
            stream_answer: metric::ANSWERS.histogram(&[("kind", "stream")]),
            plain_answer: metric::ANSWERS.histogram(&[("kind", "plain")]),
            reservations: set(
                &metric::RESERVATIONS,
                "outcome",
                &["granted", "full", "withheld", "failed"],
            ),
            pauses: metric::PAUSES.counter(&[]),
            engine_streams: set(&metric::ENGINE_STREAMS, "end", ENDS),
            resumptions: set(
                &metric::RESUMPTIONS,
                "outcome",
                &["moved", "went_on", "ended", "refused", "caller_left"],
            ),
            wasted_tokens: set(&metric::WASTED_TOKENS, "cause", WASTE_CAUSES),
            store_calls: store_calls.collect(),
            store_returns: metric::STORE_RETURNS.counter(&[]),
            unreadable: metric::UNREADABLE.counter(&[]),
            outdated: set(&metric::OUTDATED, "what", &["members", "configuration"]),
            length_error: metric::LENGTH_ERROR.histogram(&[]),
            prefill_error: metric::PREFILL_ERROR.histogram(&[]),
            answers_cut: set(&metric::ANSWERS_CUT, "cause", CUT_CAUSES),
            answers_unproven: set(&metric::ANSWERS_UNPROVEN, "fault", RESPONSE_FAULTS),
            connections_cut: set(&metric::CONNECTIONS_CUT, "cause", CONNECTION_CAUSES),
            evacuated_zones: metric::EVACUATED_ZONES.gauge(&[]),
            paced_hosts: metric::PACED_HOSTS.gauge(&[]),
            callers_closed: set(
                &metric::CALLERS_CLOSED,
                "cause",
                &["connections", "memory", "body_refused", "refused"],
            ),
            connections_closed: set(
                &metric::CONNECTIONS_CLOSED,
                "listener",
                &["readiness", "metrics", "peers"],
            ),
            calls_withheld: set(
                &metric::CALLS_WITHHELD,
                "why",
                &["leaving", "paused", "probed", "evacuated", "cold"],
            ),
            host_notices: set(&metric::HOST_NOTICES, "kind", &["leaving", "pause"]),
            crashes: metric::CRASHES.counter(&[]),
            verdicts: set(&metric::VERDICTS, "kind", &["condemned", "lifted"]),
            active_verdicts: metric::VERDICTS_IN_FORCE.gauge(&[]),
            config_version: metric::CONFIG_VERSION.gauge(&[]),
        }
    }

    /// Counts a call to the store.
    pub(crate) fn count_store_call(&self, call: &str, outcome: &str) {
        let listed = STORE_CALLS.iter().position(|c| *c == call);
        if let Some(counters) = listed.and_then(|index| self.store_calls.get(index)) {
            counters.add(outcome, 1);
        }
    }
}

/// Counts a retry that was taken from the budget of a service.
pub(crate) fn count_retry(service: &str) {
    metric::RETRIES
        .counter(&[("service", service)])
        .increment(1);
}
