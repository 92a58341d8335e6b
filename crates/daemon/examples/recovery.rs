//! How long a stream stands still when something behind it fails: the longest
//! gap between two tokens, over several tries of each failure.
//!
//! `cargo run --release --example recovery [TRIES]`

#[path = "../tests/session/mod.rs"]
mod session;

use fake::ClusterSpec;
use session::TestSite;
use std::env;
use std::process;
use std::sync::atomic;
use std::thread;
use std::time;

/// The word that makes this program the daemon.
const DAEMON: &str = "hornbeampitchd";
const DEFAULT_TRIES: usize = 5;
const PROMPT: &str = "Inspection log of the northern mule path [len=120]";
const ANSWER: u32 = 200;

/// Does harm to the decode host with this number.
type Harm = fn(&mut TestSite, usize);

/// What fails, and how.
const FAILURES: [(&str, Harm); 6] = [
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
    ("availability zone of the stream gone", lose_zone),
];

/// Kills the agents and engines that stand in the zone of a decode host.
fn lose_zone(site: &mut TestSite, decode: usize) {
    for role in ["prefill", "decode"] {
        let agent = site.cluster.daemon_index(&format!("{role}-{}", decode + 1));
        site.cluster.daemons[agent].kill();
    }
    site.cluster.prefill_engines[decode].kill();
    site.cluster.decode_engines[decode].kill();
}

fn main() -> process::ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    if words.first().is_some_and(|w| w == DAEMON) {
        return daemon::run(&words[1..]);
    }
    let tries = words.first().and_then(|w| w.parse().ok());
    for (name, harm) in FAILURES {
        let mut gaps: Vec<u128> = (0..tries.unwrap_or(DEFAULT_TRIES))
            .map(|_| longest_gap(harm).as_millis())
            .collect();
        gaps.sort_unstable();
        println!("{name}: longest gap between tokens, ms, by try: {gaps:?}");
    }
    print_entry_lost();
    process::ExitCode::SUCCESS
}

/// How long the slice of an entry that died and was dropped from the host list
/// belongs to nobody, and a withdrawal takes with two entries.
fn print_entry_lost() {
    let program = env::current_exe().expect("a running program has a path");
    let spec = ClusterSpec {
        entries: 2,
        ..ClusterSpec::small()
    };
    let mut site = TestSite::start(spec, &program, &[DAEMON]);
    let (id, _) = site.issue_key(session::RANGERS);
    let began = time::Instant::now();
    let (code, out) = site.run_client(&["key", "withdraw", &id]);
    assert_eq!(code, 0, "{out}");
    println!(
        "key withdrawn: in force at both entries after {:?}",
        began.elapsed()
    );
    site.cluster.daemons[1].kill();
    site.cluster.hosts.remove("entry-2");
    let began = time::Instant::now();
    let whole = |cluster: &fake::TestCluster| {
        session::read_metrics(cluster.daemons[0].admin).contains("hornbeampitch_allowance_part 1\n")
    };
    let redrawn = site.cluster.wait_until(session::WAIT_LIMIT, whole);
    println!(
        "entry killed: its slice is another's after {:?} ({redrawn})",
        began.elapsed()
    );
}

fn longest_gap(harm: Harm) -> time::Duration {
    let program = env::current_exe().expect("a running program has a path");
    let spec = ClusterSpec {
        prefill_engines: 2,
        ..ClusterSpec::small()
    };
    let mut site = TestSite::start(spec, &program, &[DAEMON]);
    let (_, key) = site.issue_key(session::RANGERS);
    let url = site.url(0, "/v1/completions");
    let body = session::completion_body(PROMPT, ANSWER, true);
    let tokens = atomic::AtomicUsize::new(0);
    let mut longest = time::Duration::ZERO;
    let response = thread::scope(|scope| {
        let (longest, tokens) = (&mut longest, &tokens);
        let caller = scope.spawn(move || {
            let mut last = time::Instant::now();
            session::stream_request(&url, &key, &body, |response| {
                let seen = response.text.split_whitespace().count();
                if seen > 1 && seen > tokens.swap(seen, atomic::Ordering::SeqCst) {
                    *longest = (*longest).max(last.elapsed());
                }
                last = time::Instant::now();
                true
            })
        });
        while tokens.load(atomic::Ordering::SeqCst) < 10 && !caller.is_finished() {
            thread::sleep(time::Duration::from_millis(1));
        }
        let busy = site
            .cluster
            .decode_engines
            .iter()
            .position(|e| !e.held_requests().is_empty());
        harm(&mut site, busy.expect("an engine streams"));
        caller.join().expect("the caller does not panic")
    });
    assert_eq!(response.text, fake::answer_text(PROMPT, ANSWER));
    longest
}
