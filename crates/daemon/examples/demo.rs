//! A whole site on loopback, with real daemons as processes of their own.
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

/// The word that makes this program the daemon.
const DAEMON: &str = "hornbeampitchd";
/// How long the demo stays up unless told otherwise.
const DEFAULT_SECONDS: u64 = 60;

fn main() -> process::ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    if words.first().is_some_and(|w| w == DAEMON) {
        return daemon::run(&words[1..]);
    }
    let spec = match words.first().map(String::as_str) {
        None | Some("te-awa-ridge") => ClusterSpec::te_awa_ridge(),
        Some("souss") => ClusterSpec::souss(),
        Some(other) => {
            eprintln!("`{other}` is not a site: te-awa-ridge or souss");
            return process::ExitCode::from(2);
        }
    };
    let seconds = words.get(1).and_then(|s| s.parse().ok());
    show(spec, seconds.unwrap_or(DEFAULT_SECONDS));
    process::ExitCode::SUCCESS
}

fn show(spec: ClusterSpec, seconds: u64) {
    let program = env::current_exe().expect("a running program has a path");
    let model = format!("{}-1", spec.model_upstream);
    let site = TestSite::start(spec, &program, &[DAEMON]);
    let (_, key) = site.issue_key(session::RANGERS);
    let body = serde_json::json!({
        "model": model, "prompt": "Summarise the slips on the track", "max_tokens": 24, "stream": true,
    });
    let url = site.url(0, "/v1/completions");
    println!(
        "{} daemons serve; a completion streams with:",
        site.cluster.daemons.len()
    );
    println!("\n  curl -N {url} -H 'Authorization: Bearer {key}' -d '{body}'\n");
    println!("operators' settings: {}", site.client_settings);
    println!("documents: {}", site.documents_path);
    let response = session::stream_request(&url, &key, &body.to_string(), |_| true);
    println!(
        "asked once already: status {} whole {}: {}",
        response.status, response.finished, response.text
    );
    println!("up for {seconds} s");
    thread::sleep(time::Duration::from_secs(seconds));
}
