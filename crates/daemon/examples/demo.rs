//! Runs a demo site on loopback: each daemon is a process of its own, over fake engines and services.
//!
//! `cargo run --release --example demo [te-awa-ridge|souss] [SECONDS]`

#[path = "../tests/session/mod.rs"]
mod session;

use fake::ClusterSpec;
use session::TestSite;
use std::env;
use std::process;
use std::thread;
use std::time;

/// The first argument with which this program runs as the daemon.
const DAEMON: &str = "hornbeampitchd";
/// How long the demo runs unless an argument says otherwise, in seconds.
const DEFAULT_SECONDS: u64 = 60;

fn main() -> process::ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    if args.first().is_some_and(|a| a == DAEMON) {
        return daemon::run(&args[1..]);
    }
    let spec = match args.first().map(String::as_str) {
        None | Some("te-awa-ridge") => ClusterSpec::te_awa_ridge(),
        Some("souss") => ClusterSpec::souss(),
        Some(other) => {
            eprintln!("unknown site `{other}`: expected te-awa-ridge or souss");
            return process::ExitCode::from(2);
        }
    };
    let seconds = args.get(1).and_then(|s| s.parse().ok());
    run_demo(spec, seconds.unwrap_or(DEFAULT_SECONDS));
    process::ExitCode::SUCCESS
}

/// Starts the site, prints how to use it, streams one completion and waits.
fn run_demo(spec: ClusterSpec, seconds: u64) {
    let program = env::current_exe().expect("a running program has a path");
    let model = format!("{}-1", spec.model_upstream);
    let site = TestSite::start(spec, &program, &[DAEMON]);
    let (_, key) = site.issue_key(session::RANGERS);
    let body = serde_json::json!({
        "model": model, "prompt": "Summarise the slips on the track", "max_tokens": 24, "stream": true,
    });
    let url = site.url(0, "/v1/completions");
    println!(
        "{} daemons are running; to stream a completion:",
        site.cluster.daemons.len()
    );
    println!("\n  curl -N {url} -H 'Authorization: Bearer {key}' -d '{body}'\n");
    println!("operators' client settings: {}", site.client_settings);
    println!("configuration documents: {}", site.documents_path);
    let response = session::stream_request(&url, &key, &body.to_string(), |_| true);
    println!(
        "response to this request: status {}, complete {}: {}",
        response.status, response.finished, response.text
    );
    println!("running for {seconds} s");
    thread::sleep(time::Duration::from_secs(seconds));
}
