//! Until when a stopping entry accepts connections and passes requests on.

use pool::StopPlan;
use std::time;
use yare::parameterized;

const MS: time::Duration = time::Duration::from_millis(1);

/// Returns a plan with this grace period, and the signal's time.
fn plan(grace_ms: u32) -> (StopPlan, time::Instant) {
    let signalled_at = time::Instant::now();
    let plan = StopPlan {
        signalled_at,
        grace_period: MS * grace_ms,
    };
    (plan, signalled_at)
}

#[parameterized(
    usual = { 8_000, 2_700 },
    long = { 60_000, 2_700 },
    short = { 2_000, 800 },
    none = { 0, 0 },
)]
fn connections_are_accepted_for(grace_ms: u32, expected_ms: u32) {
    let (plan, signalled_at) = plan(grace_ms);
    let accepted = plan.accept_end() - signalled_at;
    assert_eq!(accepted.as_millis(), u128::from(expected_ms));
}

/// What is refused at the end has time to be answered, and the process to exit.
#[parameterized(
    usual = { 8_000 },
    short = { 2_000 },
    shorter_than_the_margins = { 100 },
    none = { 0 },
)]
fn steps_of_a_stop_follow_each_other(grace_ms: u32) {
    let (plan, signalled_at) = plan(grace_ms);
    assert!(plan.accept_end() <= plan.last_refusal().max(signalled_at + MS * grace_ms));
    assert!(plan.last_refusal() <= plan.end());
    assert!(plan.end() <= signalled_at + MS * grace_ms);
}

#[parameterized(
    ends_in_time = { 3_000, 7_400, None },
    ends_too_late = { 3_000, 7_600, Some(2_700) },
    waits_and_ends_too_late = { 2_000, 14_000, Some(4_000) },
    waits_since_before = { 0, 14_000, Some(4_000) },
    waits_and_ends_in_time = { 2_000, 3_500, None },
)]
fn request_is_refused_from(arrived_ms: u32, deadline_ms: u32, expected_ms: Option<u32>) {
    let (plan, signalled_at) = plan(8_000);
    let at = |ms| signalled_at + MS * ms;
    let refused = plan.refuse_at(at(arrived_ms), at(deadline_ms));
    let after = refused.map(|r| (r - signalled_at).as_millis());
    assert_eq!(after, expected_ms.map(u128::from));
}
