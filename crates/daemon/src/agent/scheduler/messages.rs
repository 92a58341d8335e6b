//! Converts between the scheduler's types and the messages of entries.

use route::Urgency;
use std::time;
use tokio::sync::mpsc;
use wire::border;

/// Converts a request's urgency; its slack, in milliseconds, counts from now.
pub(super) fn convert_urgency(urgency: &border::Urgency) -> Urgency {
    let now = time::Instant::now();
    let slack = time::Duration::from_millis(u64::try_from(urgency.slack).unwrap_or(0));
    Urgency {
        due: now + slack,
        yields: urgency.waits,
        usage_share: urgency.share,
        lead_time: time::Duration::from_millis(urgency.work),
        gap_target: time::Duration::from_millis(urgency.token),
    }
}

/// Makes a fault event of a decode job. `crash` is the number of the engine crash
/// that caused the fault.
pub(super) fn decode_fault(
    kind: border::FaultKind,
    detail: &str,
    crash: Option<u64>,
) -> border::DecodeEvent {
    border::DecodeEvent::Fault {
        fault: border::Fault {
            kind,
            detail: detail.to_owned(),
            crash,
        },
    }
}

/// Makes a fault event of a prefill job. `crash` is the number of the engine crash
/// that caused the fault.
pub(super) fn prefill_fault(
    kind: border::FaultKind,
    detail: &str,
    crash: Option<u64>,
) -> border::PrefillEvent {
    border::PrefillEvent::Fault {
        fault: border::Fault {
            kind,
            detail: detail.to_owned(),
            crash,
        },
    }
}

/// Sends an event to an entry. A failure is ignored: when an entry disconnects, its
/// subscription ends, which abandons the job.
pub(super) fn send<T>(sender: &mpsc::UnboundedSender<T>, event: T) {
    let _ = sender.send(event);
}
