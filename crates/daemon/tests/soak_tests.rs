//! Runs short soak tests with random faults; docs/SOAK.md describes longer ones.

use std::path;
use std::time;
use yare::parameterized;

#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    // A worker's pages in place of answers reached callers.
    seed_501 = { 501 },
)]
fn soak_finds_no_violation(seed: u64) {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let duration = time::Duration::from_secs(6);
    let report = soak::run(program, soak::SoakPlan { seed, duration });
    assert!(report.violations.is_empty(), "{report:#?}");
}
