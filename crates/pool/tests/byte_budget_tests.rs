//! Tests the account of the bytes of requests and answers that a process holds.

use pool::ByteBudget;
use proptest::prelude::*;

const MEMORY_MB: u64 = 110;
const LARGE_BYTES: usize = 4_194_304;
const SMALL_BYTES: usize = 4_096;

/// Fills the budget with large bodies, and returns their number.
fn fill(budget: &mut ByteBudget) -> usize {
    (0..100)
        .take_while(|_| budget.try_grow(0, LARGE_BYTES))
        .count()
}

#[test]
fn large_bodies_leave_memory_for_the_process() {
    let mut budget = ByteBudget::new(MEMORY_MB);
    let count = fill(&mut budget);
    assert!(count > 0);
    assert!(count * LARGE_BYTES <= MEMORY_MB as usize * 1_000_000 / 2);
}

#[test]
fn small_bodies_fit_beside_as_many_large_ones_as_do() {
    let mut budget = ByteBudget::new(MEMORY_MB);
    fill(&mut budget);
    for number in 0..1_000 {
        assert!(budget.try_grow(0, SMALL_BYTES), "{number}");
    }
}

#[test]
fn released_bytes_make_room() {
    let mut budget = ByteBudget::new(MEMORY_MB);
    let count = fill(&mut budget);
    budget.release(LARGE_BYTES);
    assert!(budget.try_grow(0, LARGE_BYTES));
    assert!(!budget.try_grow(0, LARGE_BYTES), "{count} fit");
}

proptest! {
    /// Bodies grow and end in any order.
    #[test]
    fn held_bytes_are_those_of_the_bodies(
        steps in prop::collection::vec((0_usize..20, 0_usize..6_000_000), 1..400),
    ) {
        let mut budget = ByteBudget::new(MEMORY_MB);
        let mut bodies = [0_usize; 20];
        for (body, total) in steps {
            match total < bodies[body] {
                true => {
                    budget.release(bodies[body] - total);
                    bodies[body] = total;
                }
                false if budget.try_grow(bodies[body], total) => bodies[body] = total,
                false => {}
            }
            prop_assert_eq!(budget.held(), bodies.iter().sum::<usize>());
            prop_assert!(budget.held() <= budget.limit());
        }
    }
}
