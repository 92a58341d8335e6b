//! Tests when a call to a plain service is sent to another host.

use pool::AttemptEnd;
use pool::CallAttempts;
use std::time;
use world::Name;
use yare::parameterized;

const LATENCY_TARGET: time::Duration = time::Duration::from_millis(900);
/// An attempt is late after twice the latency target.
const LATE_AFTER: time::Duration = time::Duration::from_millis(1_800);

fn attempts(retry: seam::RetryMode, max_attempts: u32) -> CallAttempts {
    CallAttempts::new(retry, max_attempts, LATENCY_TARGET)
}

fn name(id: &str) -> Name {
    Name::from(id)
}

#[test]
fn late_attempt_of_a_repeatable_call_gets_another_beside_it() {
    let start = time::Instant::now();
    let mut attempts = attempts(seam::RetryMode::Idempotent, 3);
    assert_eq!(attempts.due_at(start), Some(start));
    attempts.start(&name("a"), start);
    assert_eq!(attempts.due_at(start), Some(start + LATE_AFTER));
    attempts.start(&name("b"), start + LATE_AFTER);
    // There is one extra attempt at a time.
    assert_eq!(attempts.due_at(start + LATE_AFTER * 3), None);
    assert_eq!(attempts.tried(), [name("a"), name("b")]);
}

#[parameterized(
    refused = { AttemptEnd::Refused, Some(LATE_AFTER) },
    unsent = { AttemptEnd::Unsent, Some(LATE_AFTER) },
    may_have_run = { AttemptEnd::MayHaveRun, None },
)]
fn end_of_the_second_attempt_leaves_the_first(end: AttemptEnd, due_after: Option<time::Duration>) {
    let start = time::Instant::now();
    let mut attempts = attempts(seam::RetryMode::Idempotent, 2);
    attempts.start(&name("a"), start);
    attempts.start(&name("b"), start + LATE_AFTER);
    attempts.end("b", end);
    // Two hosts may execute the call, and the first one may still do so.
    let due_at = attempts.due_at(start + LATE_AFTER);
    assert_eq!(due_at, due_after.map(|after| start + after));
    assert!(attempts.may_have_run());
    assert!(attempts.is_retry());
}

#[test]
fn end_of_the_late_attempt_leaves_the_second_its_time() {
    let start = time::Instant::now();
    let mut attempts = attempts(seam::RetryMode::Idempotent, 3);
    attempts.start(&name("a"), start);
    attempts.start(&name("b"), start + LATE_AFTER);
    attempts.end("a", AttemptEnd::MayHaveRun);
    let due_at = attempts.due_at(start + LATE_AFTER);
    assert_eq!(due_at, Some(start + LATE_AFTER * 2));
}

#[parameterized(
    at_most_once = { seam::RetryMode::AtMostOnce, 3 },
    single_attempt = { seam::RetryMode::Idempotent, 1 },
)]
fn call_that_may_have_run_is_not_sent_again(retry: seam::RetryMode, max_attempts: u32) {
    let start = time::Instant::now();
    let mut attempts = attempts(retry, max_attempts);
    attempts.start(&name("a"), start);
    assert_eq!(attempts.due_at(start + LATE_AFTER * 2), None);
    attempts.end("a", AttemptEnd::MayHaveRun);
    assert_eq!(attempts.due_at(start + LATE_AFTER * 2), None);
    assert!(attempts.may_have_run());
}

#[parameterized(
    refused = { AttemptEnd::Refused, true },
    unsent = { AttemptEnd::Unsent, false },
)]
fn call_that_has_not_run_is_sent_again(end: AttemptEnd, is_retry: bool) {
    let start = time::Instant::now();
    let mut attempts = attempts(seam::RetryMode::AtMostOnce, 1);
    attempts.start(&name("a"), start);
    attempts.end("a", end);
    assert_eq!(attempts.due_at(start), Some(start));
    assert!(!attempts.may_have_run());
    // Only an attempt that reached a host takes from the retry budget.
    assert_eq!(attempts.is_retry(), is_retry);
}

#[test]
fn failure_is_passed_on_after_three_hosts() {
    let start = time::Instant::now();
    let mut attempts = attempts(seam::RetryMode::Idempotent, 5);
    for (id, repeats) in [("a", true), ("b", true), ("c", false)] {
        attempts.start(&name(id), start);
        attempts.end(id, AttemptEnd::MayHaveRun);
        assert_eq!(attempts.repeats_failure(), repeats);
    }
}
