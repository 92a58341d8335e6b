//! Measures the cost of claims for idempotency keys: how much longer a call with a claim takes, and
//! how many calls share one write to the store.
//!
//! `cargo run --release --example claims [SECONDS]`

#[path = "../tests/session/mod.rs"]
mod session;

use fake::ClusterSpec;
use hdrhistogram::Histogram;
use session::TestSite;
use std::env;
use std::process;
use std::thread;
use std::time;

/// The first argument with which this program runs as the daemon.
const DAEMON: &str = "hornbeampitchd";
/// How long each measurement lasts unless an argument says otherwise, in seconds.
const DEFAULT_SECONDS: u64 = 3;
/// Numbers of concurrent callers to measure.
const CALLER_COUNTS: [usize; 3] = [1, 8, 32];

fn main() -> process::ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    if args.first().is_some_and(|a| a == DAEMON) {
        return daemon::run(&args[1..]);
    }
    let seconds = args.first().and_then(|a| a.parse().ok());
    let duration = time::Duration::from_secs(seconds.unwrap_or(DEFAULT_SECONDS));
    let program = env::current_exe().expect("a running program has a path");
    let site = TestSite::start(ClusterSpec::te_awa_ridge(), &program, &[DAEMON]);
    let (_, key) = site.issue_key(session::RANGERS);
    for callers in CALLER_COUNTS {
        for claimed in [false, true] {
            measure(&site, &key, callers, claimed, duration);
        }
    }
    process::ExitCode::SUCCESS
}

/// Measures calls from several callers, with or without claims, and prints one line.
fn measure(site: &TestSite, key: &str, callers: usize, claimed: bool, duration: time::Duration) {
    let before = site.cluster.store.call_counts();
    let end = time::Instant::now() + duration;
    let histograms: Vec<Histogram<u64>> = thread::scope(|scope| {
        let threads: Vec<_> = (0..callers)
            .map(|caller| scope.spawn(move || send_calls(site, key, caller, claimed, end)))
            .collect();
        let joined = threads.into_iter().map(|t| t.join());
        joined
            .map(|h| h.expect("no caller thread panics"))
            .collect()
    });
    let mut all = Histogram::<u64>::new(3).expect("three significant digits are valid");
    for histogram in &histograms {
        all.add(histogram)
            .expect("histograms of equal settings can be added");
    }
    let writes = site.cluster.store.call_counts().writes - before.writes;
    println!(
        "{callers:>3} callers, claims {claimed}: {:.0} calls/s, p50 {} us, p99 {} us, {:.1} writes/s, {:.1} calls per write",
        all.len() as f64 / duration.as_secs_f64(),
        all.value_at_quantile(0.5),
        all.value_at_quantile(0.99),
        writes as f64 / duration.as_secs_f64(),
        all.len() as f64 / writes.max(1) as f64,
    );
}

/// Calls a service until `end` and returns a histogram of the latencies in microseconds.
fn send_calls(
    site: &TestSite,
    key: &str,
    caller: usize,
    claimed: bool,
    end: time::Instant,
) -> Histogram<u64> {
    let mut latencies = Histogram::<u64>::new(3).expect("three significant digits are valid");
    let bearer = format!("Bearer {key}");
    let url = site.url(caller % 3, "/dispatch/orders");
    let mut count = 0;
    while time::Instant::now() < end {
        let sent_at = time::Instant::now();
        let idempotency_key = format!("{caller}-{count}-{sent_at:?}");
        let mut headers = vec![("authorization", bearer.as_str())];
        if claimed {
            headers.push(("idempotency-key", idempotency_key.as_str()));
        }
        let response = session::send_request("POST", &url, &headers, "{}");
        assert_eq!(response.status, 201, "{response:?}");
        let micros = u64::try_from(sent_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        latencies
            .record(micros)
            .expect("the histogram resizes itself");
        count += 1;
    }
    latencies
}
