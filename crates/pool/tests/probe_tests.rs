//! The call that tests whether a host takes calls again after a pause.

use pool::CallKind;
use pool::HostNotices;
use pool::Incarnation;
use pool::Permit;
use pool::Withheld;
use std::time;

const SECOND: time::Duration = time::Duration::from_secs(1);

fn target() -> seam::Target {
    seam::Target {
        id: "a".into(),
        address: "10.1.0.1:80".parse().expect("an address"),
        started_ms: 1,
    }
}

fn pause(received_at: time::Instant) -> seam::HostNotice {
    seam::HostNotice {
        host: target(),
        leaving: false,
        retry_after: Some(seam::RetryAfter::Delay(SECOND)),
        pace: None,
        received_at,
    }
}

/// A test call may be answered long after its timeout, when another pause is over.
#[test]
fn late_answer_to_a_test_does_not_end_the_next_test() {
    let now = time::Instant::now();
    let host = Incarnation::from(&target());
    let mut notices = HostNotices::default();
    notices.record(&pause(now));
    let first = notices.start_call(&host, CallKind::Work, now + SECOND);
    let first = first.expect("the pause is over");
    notices.record(&pause(now + 2 * SECOND));
    let end = now + 3 * SECOND;
    let second = notices.start_call(&host, CallKind::Work, end);
    assert_eq!(second, Ok(Permit::Probe(end)));
    notices.end_call(&host, first);
    let third = notices.start_call(&host, CallKind::Work, end);
    assert_eq!(third, Err(Withheld::Probed));
}
