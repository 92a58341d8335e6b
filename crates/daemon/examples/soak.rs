//! Runs soak tests with random faults.
//!
//! `cargo run --release --example soak -- [SEED [COUNT [SECONDS]]]` runs COUNT seeds from SEED on,
//! each with faults for SECONDS, and prints the violations found. The exit code is 1 if there are
//! any, and 2 if the daemon's program is missing.

use std::env;
use std::path;
use std::process;
use std::time;

fn main() -> process::ExitCode {
    let args: Vec<u64> = env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let arg = |index: usize, default| args.get(index).copied().unwrap_or(default);
    let (first_seed, count, seconds) = (arg(0, 1), arg(1, 1), arg(2, 10));
    let program = daemon_path();
    if !program.exists() {
        eprintln!(
            "{} is missing: run `cargo build --release` first",
            program.display()
        );
        return process::ExitCode::from(2);
    }
    let mut failed_seeds = 0;
    for seed in first_seed..first_seed + count {
        let duration = time::Duration::from_secs(seconds);
        let report = soak::run(&program, soak::SoakPlan { seed, duration });
        let (violations, requests) = (&report.violations, report.request_count);
        println!(
            "seed {seed}: {requests} requests, {} violations",
            violations.len()
        );
        if !violations.is_empty() {
            failed_seeds += 1;
            for line in violations.iter().chain(&report.faults) {
                println!("  {line}");
            }
        }
    }
    println!("{count} seeds, {failed_seeds} with violations");
    process::ExitCode::from(u8::from(failed_seeds > 0))
}

/// Returns the path of the daemon, which Cargo puts into the folder above that of the examples.
fn daemon_path() -> path::PathBuf {
    let mut folder = env::current_exe().unwrap_or_default();
    folder.pop();
    folder.pop();
    folder.join("hornbeampitchd")
}
