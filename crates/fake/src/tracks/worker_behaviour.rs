//! Speed, limits and faults of a fake worker.

use std::time;

/// Speed, limits and faults of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerBehaviour {
    /// Duration of a prefill.
    pub prefill_time: time::Duration,
    /// Whether prefills wait until this is false again.
    pub prefill_paused: bool,
    /// Time between two events of a stream.
    pub event_interval: time::Duration,
    /// Number of events in a complete stream.
    pub event_count: u64,
    /// Number of events after which streams are aborted; none lets them complete.
    pub abort_after: Option<u64>,
    /// Whether reservations are refused, as for lack of a free slot.
    pub refuse_reservations: bool,
    /// Response status of plain calls.
    pub status: u16,
    /// Whether answers consist of bytes without end that are no answer, and the time
    /// between two chunks of them.
    pub noise_interval: Option<time::Duration>,
    /// Length of such a chunk in bytes.
    pub noise_bytes: usize,
    /// Whether requests run, and a page comes in place of each answer: status 200 with neither
    /// the request's id nor a seal.
    pub answers_with_page: bool,
    /// Whether plain calls run but their connections close without a response.
    pub drop_responses: bool,
    /// Whether plain calls are refused with status 503 and marked as not executed.
    pub shed_calls: bool,
    /// Whether an engine refuses prefills in the same way.
    pub shed_prefills: bool,
    /// Values of the header by which all answers say that the worker is leaving.
    pub leaving: &'static [&'static str],
    /// Value of `Retry-After` with which all calls are refused with status 503; none if
    /// they are answered.
    pub retry_after: Option<&'static str>,
    /// Start time in the worker's record; another one stands for a restart under its id.
    pub started_ms: u64,
    /// Request body that crashes the worker; none if no request does.
    pub crash_body: Option<&'static str>,
    /// Shared part of a prompt on which the worker crashes once it has begun to answer,
    /// with its port and all connections; none if no part does.
    pub crash_part: Option<&'static str>,
    /// Time from the head of such an answer to the crash.
    pub crash_delay: time::Duration,
}

impl Default for WorkerBehaviour {
    fn default() -> Self {
        Self {
            prefill_time: time::Duration::from_millis(5),
            prefill_paused: false,
            event_interval: time::Duration::from_millis(2),
            event_count: 5,
            abort_after: None,
            noise_interval: None,
            noise_bytes: 64 * 1024,
            refuse_reservations: false,
            status: 200,
            answers_with_page: false,
            drop_responses: false,
            shed_calls: false,
            shed_prefills: false,
            leaving: &[],
            retry_after: None,
            started_ms: 1_767_816_250_201,
            crash_body: None,
            crash_part: None,
            crash_delay: time::Duration::from_millis(20),
        }
    }
}
