//! The fault soak by hand: `cargo run --release --example soak -- [SEED [COUNT [SECONDS]]]`.
//!
//! Plays COUNT seeds from SEED on, each for SECONDS of faults, and prints what
//! was found; exit code 1 where a promise was broken.

use std::env;
use std::path;
use std::process;
use std::time;

fn main() -> process::ExitCode {
    let words: Vec<u64> = env::args().skip(1).filter_map(|w| w.parse().ok()).collect();
    let word = |index: usize, usual| words.get(index).copied().unwrap_or(usual);
    let (seed, count, seconds) = (word(0, 1), word(1, 1), word(2, 10));
    let program = daemon_path();
    if !program.exists() {
        eprintln!(
            "{} is missing: cargo build --release first",
            program.display()
        );
        return process::ExitCode::from(2);
    }
    let mut broken = 0;
    for seed in seed..seed + count {
        let duration = time::Duration::from_secs(seconds);
        let outcome = soak::run(&program, soak::SoakPlan { seed, duration });
        let (found, asked) = (&outcome.violations, outcome.request_count);
        println!("seed {seed}: {asked} requests, {} found", found.len());
        if !found.is_empty() {
            broken += 1;
            for line in found.iter().chain(&outcome.faults) {
                println!("  {line}");
            }
        }
    }
    println!("{count} seeds, {broken} with a promise broken");
    process::ExitCode::from(u8::from(broken > 0))
}

/// The daemon beside this program's folder.
fn daemon_path() -> path::PathBuf {
    let mut folder = env::current_exe().unwrap_or_default();
    folder.pop();
    folder.pop();
    folder.join("hornbeampitchd")
}
