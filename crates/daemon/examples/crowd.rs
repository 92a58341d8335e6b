//! Presses an entry with clients that keep to no limit, and tells what it holds and how many
//! ordinary callers with one try each are answered beside them and afterwards.
//!
//! `cargo run --release --example crowd [CLIENTS [MEMORY_MB [DESCRIPTORS]]]`

use fake::Flood;
use fake::FloodScript;
use fake::tracks::TracksCluster;
use fake::tracks::names;
use std::env;
use std::process;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

/// The first argument with which this program runs as the daemon.
const DAEMON: &str = "platform";
const DEFAULT_CLIENTS: usize = 700;
const DEFAULT_MEMORY_MB: usize = 88;
const DEFAULT_DESCRIPTORS: usize = 4_100;
/// Longest body that the configuration allows.
const MAX_BODY_BYTES: usize = 1_000_000;
/// How long each crowd presses, and the time between two ordinary callers.
const PRESS_TIME: time::Duration = time::Duration::from_secs(10);
const CALLER_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Time between two pieces of a client that trickles.
const TRICKLE_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Ordinary callers that come when a crowd has gone.
const CALLERS_AFTER: usize = 10;

fn main() -> process::ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    if arguments.first().is_some_and(|a| a == DAEMON) {
        return daemon::run(&arguments);
    }
    let number = |index: usize, default| {
        let text = arguments.get(index);
        text.and_then(|t| t.parse().ok()).unwrap_or(default)
    };
    let clients = number(0, DEFAULT_CLIENTS);
    let memory_mb = number(1, DEFAULT_MEMORY_MB);
    let descriptors = number(2, DEFAULT_DESCRIPTORS);
    println!("{clients} clients, {memory_mb} MB, {descriptors} descriptors");
    for (name, script) in crowds() {
        press(name, script, clients, memory_mb, descriptors);
    }
    process::ExitCode::SUCCESS
}

/// Returns what the clients send. They have no key, so that they don't use up the allowance of
/// the ordinary callers.
fn crowds() -> [(&'static str, FloodScript); 5] {
    let head = format!(
        "POST /open/crowd HTTP/1.1\r\nhost: agency.example\r\n{}: c000000000000001\r\n\
        {}: 8000\r\n",
        names::REQUEST_ID,
        names::DEADLINE_MS,
    );
    let chunked = |chunk_bytes: usize, chunks: usize| {
        let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
        let text = format!(
            "{head}transfer-encoding: chunked\r\n\r\n{}",
            chunk.repeat(chunks)
        );
        text.into_bytes()
    };
    let whole = head.replace("POST", "GET") + "\r\n";
    [
        (
            "longest bodies",
            FloodScript::Once(chunked(50_000, 19).into()),
        ),
        (
            "chunks of one byte",
            FloodScript::Once(chunked(1, 6_000).into()),
        ),
        ("silent", FloodScript::Once((*b"").into())),
        (
            "a head line every 300 ms",
            FloodScript::Trickle(head.into_bytes().into(), (*b"x-noise: x\r\n").into()),
        ),
        (
            "pipelined, answers unread",
            FloodScript::Endless(whole.into_bytes().into()),
        ),
    ]
}

/// Returns whether an ordinary caller's order is answered at its first try.
fn is_answered(cluster: &TracksCluster) -> bool {
    let response = cluster.request(0, "POST", "/order/ordinary", "an order", &[]);
    response.status == 200 && response.complete
}

fn press(name: &str, script: FloodScript, clients: usize, memory_mb: usize, descriptors: usize) {
    let program = env::current_exe().expect("a running program has a path");
    let mut cluster = TracksCluster::new(&program, &[], 2, 1);
    cluster.configure(|c| c["limits"]["max_body_bytes"] = MAX_BODY_BYTES.into());
    let entry = &cluster.entries[0];
    entry.set_setting("memory_mb", &memory_mb.to_string());
    entry.set_setting("max_fds", &descriptors.to_string());
    cluster.start();
    let is_trickle = matches!(script, FloodScript::Trickle(..));
    let mut flood = Flood::new(cluster.entries[0].caller_address, script, clients);
    let is_over = atomic::AtomicBool::new(false);
    let held = sync::Mutex::new(0);
    let (mut tries, mut answered) = (0, 0);
    let began = time::Instant::now();
    thread::scope(|scope| {
        scope.spawn(|| {
            while !is_over.load(atomic::Ordering::Relaxed) {
                match is_trickle {
                    true => {
                        flood.press_once();
                        thread::sleep(TRICKLE_INTERVAL);
                    }
                    false => flood.press(TRICKLE_INTERVAL),
                }
                let entry = &cluster.entries[0];
                let now = entry.held_bytes(&[entry.caller_address]).unwrap_or(0);
                let mut peak = held.lock().expect("no thread panics");
                *peak = now.max(*peak);
            }
        });
        thread::sleep(TRICKLE_INTERVAL);
        while began.elapsed() < PRESS_TIME {
            tries += 1;
            answered += usize::from(is_answered(&cluster));
            thread::sleep(CALLER_INTERVAL);
        }
        is_over.store(true, atomic::Ordering::Relaxed);
    });
    drop(flood);
    thread::sleep(time::Duration::from_secs(1));
    let after = (0..CALLERS_AFTER).filter(|_| is_answered(&cluster)).count();
    let peak = *held.lock().expect("no thread panics") as f64 / 1e6;
    let lives = cluster.entries[0].is_running();
    println!(
        "{name}: held {peak:.0} MB, answered beside it {answered} of {tries}, after it {after} of \
        {CALLERS_AFTER}, lives {lives}"
    );
}
