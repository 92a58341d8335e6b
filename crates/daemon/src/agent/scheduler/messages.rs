//! What entries are told of their jobs, and what they say of their urgency.

use route::Urgency;
use std::time;
use tokio::sync::mpsc;
use wire::border;

pub(super) fn urgency_of(urgency: &border::Urgency) -> Urgency {
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

/// An entry that has gone is noticed by its subscription's end.
pub(super) fn tell<T>(out: &mpsc::UnboundedSender<T>, event: T) {
    let _ = out.send(event);
}
