//! All metrics of an entry, each with its name, unit and help text.
//!
//! A handle of a metric can be had from its definition only, and describes it as well.

use metrics::Unit;

/// Name, unit and help text of a metric.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Metric {
    name: &'static str,
    /// The name before the prefix, under which the metric is served as well until 0.2.
    old_name: Option<&'static str>,
    unit: Unit,
    help: &'static str,
}

/// Help text of the old names.
const OLD_NAME_HELP: &str = "Old name, until 0.2: docs/OPERATIONS.md has the new one.";

/// A counter under its name and its old one.
#[derive(Clone)]
pub(crate) struct Counter {
    current: metrics::Counter,
    old: metrics::Counter,
}

impl Counter {
    pub(crate) fn increment(&self, count: u64) {
        self.current.increment(count);
        self.old.increment(count);
    }
}

/// A gauge under its name and its old one.
pub(crate) struct Gauge {
    current: metrics::Gauge,
    old: metrics::Gauge,
}

impl Gauge {
    pub(crate) fn set(&self, value: f64) {
        self.current.set(value);
        self.old.set(value);
    }
}

/// A histogram under its name and its old one.
pub(crate) struct Histogram {
    current: metrics::Histogram,
    old: metrics::Histogram,
}

impl Histogram {
    pub(crate) fn record(&self, value: f64) {
        self.current.record(value);
        self.old.record(value);
    }
}

type Labels<'a> = [(&'static str, &'a str)];

impl Metric {
    const fn new(name: &'static str, unit: Unit, help: &'static str) -> Self {
        Self {
            name,
            old_name: None,
            unit,
            help,
        }
    }

    const fn renamed(self, old_name: &'static str) -> Self {
        Self {
            old_name: Some(old_name),
            ..self
        }
    }

    /// Describes and registers a counter with these labels.
    pub(crate) fn counter(&self, labels: &Labels<'_>) -> Counter {
        let labels = owned(labels);
        metrics::describe_counter!(self.name, self.unit, self.help);
        let old = self.old_name.map(|old| {
            metrics::describe_counter!(old, self.unit, OLD_NAME_HELP);
            metrics::counter!(old, &labels)
        });
        Counter {
            current: metrics::counter!(self.name, &labels),
            old: old.unwrap_or_else(metrics::Counter::noop),
        }
    }

    /// Describes and registers a gauge with these labels.
    pub(crate) fn gauge(&self, labels: &Labels<'_>) -> Gauge {
        let labels = owned(labels);
        metrics::describe_gauge!(self.name, self.unit, self.help);
        let old = self.old_name.map(|old| {
            metrics::describe_gauge!(old, self.unit, OLD_NAME_HELP);
            metrics::gauge!(old, &labels)
        });
        Gauge {
            current: metrics::gauge!(self.name, &labels),
            old: old.unwrap_or_else(metrics::Gauge::noop),
        }
    }

    /// Describes and registers a histogram with these labels.
    pub(crate) fn histogram(&self, labels: &Labels<'_>) -> Histogram {
        let labels = owned(labels);
        metrics::describe_histogram!(self.name, self.unit, self.help);
        let old = self.old_name.map(|old| {
            metrics::describe_histogram!(old, self.unit, OLD_NAME_HELP);
            metrics::histogram!(old, &labels)
        });
        Histogram {
            current: metrics::histogram!(self.name, &labels),
            old: old.unwrap_or_else(metrics::Histogram::noop),
        }
    }
}

fn owned(labels: &Labels<'_>) -> Vec<(&'static str, String)> {
    let owned = |(name, value): &(&'static str, &str)| (*name, (*value).to_owned());
    labels.iter().map(owned).collect()
}

/// End of the names of those histograms that hold a ratio.
pub(crate) const RATIO_SUFFIX: &str = "_error_ratio";

pub(crate) const REQUESTS: Metric = Metric::new(
    "hornbeampitch_requests_total",
    Unit::Count,
    "Callers' requests, counted once at their end, by kind, outcome and cause.",
);
pub(crate) const REFUSED: Metric = Metric::new(
    "refused",
    Unit::Count,
    "Old name, until 0.2: hornbeampitch_requests_total with outcome refused.",
);
pub(crate) const STAGES: Metric = Metric::new(
    "hornbeampitch_stage_seconds",
    Unit::Seconds,
    "Time that a stage took, whether it succeeded or not.",
);
pub(crate) const FIRST_EVENT: Metric = Metric::new(
    "hornbeampitch_first_event_seconds",
    Unit::Seconds,
    "Time from a request's head to the first bytes of its stream.",
)
.renamed("first_event_seconds");
pub(crate) const ANSWERS: Metric = Metric::new(
    "hornbeampitch_answer_seconds",
    Unit::Seconds,
    "Time from a request's head to the end of the host's answer, or to the head of a long plain one.",
)
.renamed("answer_seconds");
pub(crate) const RESERVATIONS: Metric = Metric::new(
    "hornbeampitch_reservations_total",
    Unit::Count,
    "Reservations asked of decode engines, by outcome.",
);
pub(crate) const PAUSES: Metric = Metric::new(
    "hornbeampitch_stream_pauses_total",
    Unit::Count,
    "Pauses of running streams, as after a preemption: the next event was long overdue.",
);
pub(crate) const ENGINE_STREAMS: Metric = Metric::new(
    "hornbeampitch_engine_streams_total",
    Unit::Count,
    "Streams at an engine that have ended, by the way they ended there.",
);
pub(crate) const RESUMPTIONS: Metric = Metric::new(
    "hornbeampitch_resumptions_total",
    Unit::Count,
    "Attempts to resume an interrupted stream at another engine, by outcome.",
);
pub(crate) const WASTED_TOKENS: Metric = Metric::new(
    "hornbeampitch_wasted_prompt_tokens_total",
    Unit::Count,
    "Prompt tokens read for nothing, or at most read by a prefill that failed, by cause.",
);
pub(crate) const STORE_CALLS: Metric = Metric::new(
    "hornbeampitch_store_calls_total",
    Unit::Count,
    "Calls to the platform's store that have ended, by kind and outcome.",
);
pub(crate) const UNREADABLE: Metric = Metric::new(
    "hornbeampitch_unreadable_records_total",
    Unit::Count,
    "Records in the platform's store that can't be decoded, each counted once.",
);
pub(crate) const STORE_RETURNS: Metric = Metric::new(
    "hornbeampitch_store_returns_total",
    Unit::Count,
    "Times that the platform's store came back from an older copy.",
);
pub(crate) const OUTDATED: Metric = Metric::new(
    "hornbeampitch_outdated_total",
    Unit::Count,
    "Lists of hosts and configurations that were ignored as older than the known ones.",
);
pub(crate) const LENGTH_ERROR: Metric = Metric::new(
    "hornbeampitch_response_length_error_ratio",
    Unit::Count,
    "Tokens of a whole stream, divided by the forecast.",
);
pub(crate) const PREFILL_ERROR: Metric = Metric::new(
    "hornbeampitch_prefill_time_error_ratio",
    Unit::Count,
    "Time of a prefill that succeeded, divided by its expected time.",
);
pub(crate) const RETRIES: Metric = Metric::new(
    "hornbeampitch_retries_total",
    Unit::Count,
    "Retries taken from the budget, by service.",
);
pub(crate) const ANSWERS_CUT: Metric = Metric::new(
    "hornbeampitch_answers_cut_total",
    Unit::Count,
    "Answers that ended before they were complete, by cause.",
)
.renamed("answers_cut");
pub(crate) const ANSWERS_UNPROVEN: Metric = Metric::new(
    "hornbeampitch_answers_unproven_total",
    Unit::Count,
    "Answers to callers' requests that nothing shows to be the host's, by what is wrong.",
);
pub(crate) const CONNECTIONS_CUT: Metric = Metric::new(
    "hornbeampitch_connections_cut_total",
    Unit::Count,
    "Callers' connections that ended before the answer to a request, by cause.",
)
.renamed("connections_cut");
pub(crate) const EVACUATED_ZONES: Metric = Metric::new(
    "hornbeampitch_evacuated_zones",
    Unit::Count,
    "Availability zones whose hosts get no new work, as the operator asks.",
);
pub(crate) const EVACUATED_RUNNING: Metric = Metric::new(
    "hornbeampitch_evacuated_running",
    Unit::Count,
    "This entry's streams and calls that still run in an evacuated zone, by zone.",
);
pub(crate) const CALLS_WAITING: Metric = Metric::new(
    "hornbeampitch_calls_waiting",
    Unit::Count,
    "Calls to a plain service that wait while all of its hosts are full, by service.",
);
pub(crate) const PACED_HOSTS: Metric = Metric::new(
    "hornbeampitch_paced_hosts",
    Unit::Count,
    "Upstream hosts that get less than their full share of work, as they are cold or came back.",
);
pub(crate) const CALLERS_CLOSED: Metric = Metric::new(
    "hornbeampitch_callers_closed_total",
    Unit::Count,
    "Callers' connections that were closed or not taken because callers held too much, by cause.",
);
pub(crate) const CONNECTIONS_CLOSED: Metric = Metric::new(
    "hornbeampitch_connections_closed_total",
    Unit::Count,
    "Connections to the other listeners that were closed or not taken because there were too many.",
);
pub(crate) const CALLS_WITHHELD: Metric = Metric::new(
    "hornbeampitch_calls_withheld_total",
    Unit::Count,
    "Calls not made because their host wants none, by cause.",
)
.renamed("calls_withheld");
pub(crate) const HOST_NOTICES: Metric = Metric::new(
    "hornbeampitch_host_notices_total",
    Unit::Count,
    "Notices of hosts that they are leaving or want a pause.",
)
.renamed("host_notices");
pub(crate) const CRASHES: Metric = Metric::new(
    "hornbeampitch_crashes_total",
    Unit::Count,
    "Upstream hosts that crashed.",
)
.renamed("crashes");
pub(crate) const VERDICTS: Metric = Metric::new(
    "hornbeampitch_verdicts_total",
    Unit::Count,
    "Verdicts on what crashes engines, passed and lifted.",
)
.renamed("verdicts");
pub(crate) const VERDICTS_IN_FORCE: Metric = Metric::new(
    "hornbeampitch_verdicts_in_force",
    Unit::Count,
    "Verdicts in force.",
)
.renamed("verdicts_in_force");
pub(crate) const CONFIG_VERSION: Metric = Metric::new(
    "hornbeampitch_configuration_version",
    Unit::Count,
    "Version of the configuration in force.",
)
.renamed("configuration_version");
pub(crate) const POOL_FILL: Metric = Metric::new(
    "hornbeampitch_pool_fill_ratio",
    Unit::Count,
    "Part of the decode engines' memory that is taken, by service.",
)
.renamed("pool_fill");
pub(crate) const POOL_WAITING: Metric = Metric::new(
    "hornbeampitch_pool_waiting",
    Unit::Count,
    "Streams that wait for a seat, by service.",
)
.renamed("pool_waiting");
