//! Measures how long a stream is interrupted when something on its path fails: the longest gap
//! between two tokens, in several attempts with each fault. Also measures how long the withdrawal of
//! a key and the handover of a killed entry's share of the allowances take.
//!
//! `cargo run --release --example recovery [ATTEMPTS]`

#[path = "../tests/session/mod.rs"]
mod session;

use fake::ClusterSpec;
use session::TestSite;
use std::env;
use std::process;
use std::sync::atomic;
use std::thread;
use std::time;

/// The first argument with which this program runs as the daemon.
const DAEMON: &str = "hornbeampitchd";
/// The number of attempts with each fault unless an argument says otherwise.
const DEFAULT_ATTEMPTS: usize = 5;
const PROMPT: &str = "Inspection log of the northern mule path [len=120]";
/// The limit on the length of the answer, in tokens.
const MAX_TOKENS: u32 = 200;

/// A function that injects a fault at the decode host with this index.
type InjectFault = fn(&mut TestSite, usize);

/// The faults and how they are injected.
const FAULTS: [(&str, InjectFault); 6] = [
    ("nothing", |_, _| {}),
    ("decode agent killed", |s, i| {
        let agent = s.cluster.daemon_index(&format!("decode-{}", i + 1));
        s.cluster.daemons[agent].kill();
    }),
    ("decode agent frozen", |s, i| {
        assert!(s.cluster.signal(&format!("decode-{}", i + 1), "STOP"));
    }),
    ("decode engine killed", |s, i| {
        s.cluster.decode_engines[i].kill()
    }),
    ("decode engine frozen", |s, i| {
        s.cluster.decode_engines[i].set_frozen(true)
    }),
    ("availability zone of the stream gone", kill_zone),
];

/// Kills the agents and engines in the zone of a decode host.
fn kill_zone(site: &mut TestSite, decode: usize) {
    for role in ["prefill", "decode"] {
        let agent = site.cluster.daemon_index(&format!("{role}-{}", decode + 1));
        site.cluster.daemons[agent].kill();
    }
    site.cluster.prefill_engines[decode].kill();
    site.cluster.decode_engines[decode].kill();
}

fn main() -> process::ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    if args.first().is_some_and(|a| a == DAEMON) {
        return daemon::run(&args[1..]);
    }
    let attempts = args.first().and_then(|a| a.parse().ok());
    for (name, inject_fault) in FAULTS {
        let mut gaps: Vec<u128> = (0..attempts.unwrap_or(DEFAULT_ATTEMPTS))
            .map(|_| longest_gap(inject_fault).as_millis())
            .collect();
        gaps.sort_unstable();
        println!("{name}: longest gap between tokens in each attempt, ms: {gaps:?}");
    }
    measure_entry_loss();
    process::ExitCode::SUCCESS
}

/// Measures with two entries how long the withdrawal of a key takes. Then it kills one entry, removes
/// it from the host list, and measures how long the other takes to get its share of the allowances.
fn measure_entry_loss() {
    let program = env::current_exe().expect("a running program has a path");
    let spec = ClusterSpec {
        entries: 2,
        ..ClusterSpec::small()
    };
    let mut site = TestSite::start(spec, &program, &[DAEMON]);
    let (id, _) = site.issue_key(session::RANGERS);
    let started = time::Instant::now();
    let (code, out) = site.run_client(&["key", "withdraw", &id]);
    assert_eq!(code, 0, "{out}");
    println!(
        "key withdrawn: in force at both entries after {:?}",
        started.elapsed()
    );
    site.cluster.daemons[1].kill();
    site.cluster.host_list.remove("entry-2");
    let started = time::Instant::now();
    let has_full_share = |cluster: &fake::TestCluster| {
        session::read_metrics(cluster.daemons[0].admin_address)
            .contains("hornbeampitch_allowance_part 1\n")
    };
    let reassigned = site.cluster.wait_until(session::WAIT_LIMIT, has_full_share);
    println!(
        "entry killed: the other entry has its share after {:?} ({reassigned})",
        started.elapsed()
    );
}

/// Streams a completion, injects a fault after the tenth token and returns the longest gap between
/// two tokens.
fn longest_gap(inject_fault: InjectFault) -> time::Duration {
    let program = env::current_exe().expect("a running program has a path");
    let spec = ClusterSpec {
        prefill_engines: 2,
        ..ClusterSpec::small()
    };
    let mut site = TestSite::start(spec, &program, &[DAEMON]);
    let (_, key) = site.issue_key(session::RANGERS);
    let url = site.url(0, "/v1/completions");
    let body = session::completion_body(PROMPT, MAX_TOKENS, true);
    let tokens = atomic::AtomicUsize::new(0);
    let mut longest = time::Duration::ZERO;
    let response = thread::scope(|scope| {
        let (longest, tokens) = (&mut longest, &tokens);
        let caller = scope.spawn(move || {
            let mut last_line_at = time::Instant::now();
            session::stream_request(&url, &key, &body, |response| {
                let count = response.text.split_whitespace().count();
                if count > 1 && count > tokens.swap(count, atomic::Ordering::SeqCst) {
                    *longest = (*longest).max(last_line_at.elapsed());
                }
                last_line_at = time::Instant::now();
                true
            })
        });
        while tokens.load(atomic::Ordering::SeqCst) < 10 && !caller.is_finished() {
            thread::sleep(time::Duration::from_millis(1));
        }
        let streaming = site
            .cluster
            .decode_engines
            .iter()
            .position(|e| !e.held_requests().is_empty());
        inject_fault(&mut site, streaming.expect("an engine streams"));
        caller.join().expect("the caller thread does not panic")
    });
    assert_eq!(response.text, fake::answer_text(PROMPT, MAX_TOKENS));
    longest
}
