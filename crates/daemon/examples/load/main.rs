//! Runs load experiments: real daemons over fake upstreams get open-loop arrivals drawn from a seed,
//! and a table shows the results that the users measure.
//!
//! `cargo run --release --example load -- --help` lists the options. docs/DECISIONS.md gives the
//! commands behind its figures.

#[path = "../../tests/session/mod.rs"]
mod session;

mod cost;
mod drive;
mod options;
mod plan;
mod report;

use options::Options;
use report::RunResults;
use std::env;
use std::process;

/// The first argument with which this program runs as the daemon.
const DAEMON: &str = "hornbeampitchd";

fn main() -> process::ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    if args.first().is_some_and(|a| a == DAEMON) {
        return daemon::run(&args[1..]);
    }
    let options = match Options::parse(&args) {
        Ok(options) => options,
        Err(message) => {
            eprintln!("{message}");
            return process::ExitCode::from(2);
        }
    };
    println!("{}", report::TABLE_HEADER);
    let mut rows = Vec::new();
    for policy in &options.policies {
        for load in &options.loads {
            let runs: Vec<RunResults> = (0..options.seeds)
                .map(|seed| run(&options, policy, *load, seed))
                .collect();
            let row = report::TableRow::from_runs(policy, *load, &runs);
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

/// Runs the plan drawn from one seed, with a policy and at a load in percent of the decode engines'
/// capacity.
fn run(options: &Options, policy: &str, load: u32, seed: u64) -> RunResults {
    let spec = options.spec(policy);
    let plan = plan::Plan::draw(&spec, options, load, seed);
    let results = drive::run(spec, options, &plan);
    if options.each {
        println!("  seed {seed}: {results}");
    }
    results
}
