//! Load and experiments: the real daemons over the stand-ins, with open-loop
//! arrivals from a seed, and a report of what the users measure.
//!
//! `cargo run --release --example load -- --help` lists the options; the
//! figures in docs/DECISIONS.md name the commands that made them.

#[path = "../../tests/session/mod.rs"]
mod session;

mod cost;
mod drive;
mod options;
mod plan;
mod report;

use options::Options;
use report::Measures;
use std::env;
use std::process;

/// The word that makes this program the daemon.
const DAEMON: &str = "hornbeampitchd";

fn main() -> process::ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    if words.first().is_some_and(|w| w == DAEMON) {
        return daemon::run(&words[1..]);
    }
    let options = match Options::read(&words) {
        Ok(options) => options,
        Err(text) => {
            eprintln!("{text}");
            return process::ExitCode::from(2);
        }
    };
    println!("{}", report::HEAD);
    let mut rows = Vec::new();
    for policy in &options.policies {
        for load in &options.loads {
            let runs: Vec<Measures> = (0..options.seeds)
                .map(|seed| run(&options, policy, *load, seed))
                .collect();
            let row = report::Row::of_runs(policy, *load, &runs);
            println!("{row}");
            rows.push(row);
        }
    }
    if let Some(path) = &options.plot
        && let Err(error) = report::plot(path, &rows)
    {
        eprintln!("{path}: {error}");
        return process::ExitCode::FAILURE;
    }
    process::ExitCode::SUCCESS
}

fn run(options: &Options, policy: &str, load: u32, seed: u64) -> Measures {
    let spec = options.spec(policy);
    let plan = plan::Plan::draw(&spec, options, load, seed);
    let measures = drive::run(spec, options, &plan);
    if options.each {
        println!("  seed {seed}: {measures}");
    }
    measures
}
