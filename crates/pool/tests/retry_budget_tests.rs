//! Tests of retries that are kept back in the budget.

use std::time;
use world::Name;

/// Length of the budget's window.
const WINDOW: time::Duration = time::Duration::from_secs(10);

/// A budget that allows two retries without requests.
fn budget_of_two() -> pool::RetryBudget {
    pool::RetryBudget::new(0.2, 3.0, WINDOW)
}

/// A retry that is kept back counts until it is given back, and is there for the one who
/// keeps it.
#[test]
fn reserved_retry_counts_until_it_is_released() {
    let (mut budget, now) = (budget_of_two(), time::Instant::now());
    let service = Name::from("llm");
    assert!(budget.try_reserve(&service, 1, now));
    assert!(budget.try_take(&service, 1, now));
    assert!(!budget.try_take(&service, 1, now));
    assert!(!budget.try_reserve(&service, 1, now));
    budget.release(&service);
    assert!(budget.try_take(&service, 1, now));
    assert!(!budget.try_take(&service, 1, now));
}

/// A retry that was kept back and taken counts like any other.
#[test]
fn reserved_retry_counts_once_it_is_taken() {
    let (mut budget, now) = (budget_of_two(), time::Instant::now());
    let service = Name::from("llm");
    assert!(budget.try_reserve(&service, 1, now));
    budget.take_reserved(&service, now);
    assert!(budget.try_take(&service, 1, now));
    assert!(!budget.try_take(&service, 1, now));
    let later = now + WINDOW * 2;
    assert!(budget.try_take(&service, 1, later));
}
