//! What a claim costs: calls for each write of the store, and the time that a
//! claim adds to a call.
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

/// The word that makes this program the daemon.
const DAEMON: &str = "hornbeampitchd";
const DEFAULT_SECONDS: u64 = 3;
const CALLERS: [usize; 3] = [1, 8, 32];

fn main() -> process::ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    if words.first().is_some_and(|w| w == DAEMON) {
        return daemon::run(&words[1..]);
    }
    let seconds = words.first().and_then(|w| w.parse().ok());
    let limit = time::Duration::from_secs(seconds.unwrap_or(DEFAULT_SECONDS));
    let program = env::current_exe().expect("a running program has a path");
    let site = TestSite::start(ClusterSpec::te_awa_ridge(), &program, &[DAEMON]);
    let (_, key) = site.issue_key(session::RANGERS);
    for callers in CALLERS {
        for claimed in [false, true] {
            measure(&site, &key, callers, claimed, limit);
        }
    }
    process::ExitCode::SUCCESS
}

fn measure(site: &TestSite, key: &str, callers: usize, claimed: bool, limit: time::Duration) {
    let before = site.cluster.store.call_counts();
    let end = time::Instant::now() + limit;
    let latencies: Vec<Histogram<u64>> = thread::scope(|scope| {
        let threads: Vec<_> = (0..callers)
            .map(|caller| scope.spawn(move || call(site, key, caller, claimed, end)))
            .collect();
        let joined = threads.into_iter().map(|t| t.join());
        joined.map(|l| l.expect("no caller panics")).collect()
    });
    let mut all = Histogram::<u64>::new(3).expect("three digits are allowed");
    for latency in &latencies {
        all.add(latency).expect("histograms of one kind add up");
    }
    let writes = site.cluster.store.call_counts().writes - before.writes;
    println!(
        "{callers:>3} callers, claims {claimed}: {:.0} calls/s, p50 {} us, p99 {} us, {:.1} writes/s, {:.1} calls a write",
        all.len() as f64 / limit.as_secs_f64(),
        all.value_at_quantile(0.5),
        all.value_at_quantile(0.99),
        writes as f64 / limit.as_secs_f64(),
        all.len() as f64 / writes.max(1) as f64,
    );
}

fn call(
    site: &TestSite,
    key: &str,
    caller: usize,
    claimed: bool,
    end: time::Instant,
) -> Histogram<u64> {
    let mut latency = Histogram::<u64>::new(3).expect("three digits are allowed");
    let bearer = format!("Bearer {key}");
    let url = site.url(caller % 3, "/dispatch/orders");
    let mut count = 0;
    while time::Instant::now() < end {
        let began = time::Instant::now();
        let claim = format!("{caller}-{count}-{began:?}");
        let mut headers = vec![("authorization", bearer.as_str())];
        if claimed {
            headers.push(("idempotency-key", claim.as_str()));
        }
        let response = session::send_request("POST", &url, &headers, "{}");
        assert_eq!(response.status, 201, "{response:?}");
        let micros = u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX);
        latency.record(micros).expect("the histogram grows");
        count += 1;
    }
    latency
}
