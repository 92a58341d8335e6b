//! No sequence of refusals takes fewer retries from the budget than it has extra arrivals.

use pool::Arrivals;
use proptest::prelude::*;

/// What a request is sent for, and whether it is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    PrefillAccepted,
    PrefillRefused,
    Sent,
}

/// Makes the steps, and returns the retries taken and the extra arrivals: those beyond the
/// first, without the first prefill that was accepted.
fn play(steps: &[Step]) -> (usize, usize) {
    let mut arrivals = Arrivals::default();
    let mut taken = 0;
    for step in steps {
        if arrivals.needs_retry() {
            arrivals.record_retry();
            taken += 1;
        }
        arrivals.record_send();
        if *step == Step::PrefillAccepted {
            arrivals.record_prefill();
        }
    }
    let is_free = steps.contains(&Step::PrefillAccepted);
    let counted = steps.len() - usize::from(is_free);
    (taken, counted.saturating_sub(1))
}

#[test]
fn usual_request_takes_no_retry() {
    assert_eq!(play(&[Step::PrefillAccepted, Step::Sent]), (0, 0));
    assert_eq!(play(&[Step::Sent]), (0, 0));
}

/// A decode engine is to read a prompt that a prefill engine has refused.
#[test]
fn send_after_a_refused_prefill_takes_a_retry() {
    assert_eq!(play(&[Step::PrefillRefused, Step::Sent]), (1, 1));
}

#[test]
fn accepted_prefill_after_a_refused_one_leaves_its_retry_to_the_send() {
    let steps = [Step::PrefillRefused, Step::PrefillAccepted, Step::Sent];
    assert_eq!(play(&steps), (1, 1));
}

#[test]
fn send_that_reaches_no_host_takes_no_retry() {
    let mut arrivals = Arrivals::default();
    arrivals.record_send();
    arrivals.withdraw();
    assert!(!arrivals.needs_retry());
}

proptest! {
    /// A retry taken for the prefill that turns out to be free may be left over at the end.
    #[test]
    fn retries_cover_the_extra_arrivals(
        steps in prop::collection::vec(
            prop_oneof![
                Just(Step::PrefillAccepted),
                Just(Step::PrefillRefused),
                Just(Step::Sent),
            ],
            1..12,
        )
    ) {
        let (taken, extra) = play(&steps);
        prop_assert!(taken == extra || taken == extra + 1);
    }
}
