//! Compares pushed load reports with polls that cost the same bytes per second: it computes the part
//! of the time in which an entry's count of an agent's free seats is wrong. Time is simulated.
//!
//! `cargo run --release --example staleness`

use rand::Rng;
use rand::SeedableRng;
use wire::LoadReporter;
use wire::LoadState;

/// The simulated time of each row, in seconds.
const SECONDS: f64 = 600.0;
/// Rates at which the free seats change, per second, from that of an idle agent to that of a nearly
/// full one.
const CHANGE_RATES: [f64; 4] = [0.1, 1.0, 5.0, 20.0];
/// A report is pushed at least this often, in seconds, as by the daemon.
const HEARTBEAT_SECONDS: f64 = 0.3;
/// The shortest time between two pushed reports, in seconds, as in the daemon. Changes within this
/// time share one report.
const COALESCE_SECONDS: f64 = 0.01;
/// How long a report travels, in seconds.
const LATENCY_SECONDS: f64 = 0.001;
/// The size of each message's framing by IP, TCP and WebSocket.
const FRAME_BYTES: usize = 50;
/// The size of a pushed report's JSON-RPC envelope.
const PUSH_ENVELOPE_BYTES: usize = 90;
/// The size of a poll's request and of the envelope of its response.
const POLL_ENVELOPE_BYTES: usize = 60 + 40;

fn main() {
    println!("changes/s  bytes/s  push: wrong  poll every  poll: wrong");
    for rate in CHANGE_RATES {
        let changes = draw_changes(rate);
        let push = push(&changes);
        let interval = poll_bytes() / push.bytes_per_second;
        let wrong_fraction = poll(&changes, interval);
        println!(
            "{rate:>9.1}  {:>7.0}  {:>9.3} %  {interval:>8.3} s  {:>9.3} %",
            push.bytes_per_second,
            100.0 * push.wrong_fraction,
            100.0 * wrong_fraction
        );
    }
}

/// Draws the times at which the free seats change, with a fixed seed.
fn draw_changes(rate: f64) -> Vec<f64> {
    let mut random = rand::rngs::StdRng::seed_from_u64(7);
    let mut time = 0.0;
    let mut changes = Vec::new();
    while time < SECONDS {
        time -= random.random::<f64>().max(1e-12).ln() / rate;
        changes.push(time);
    }
    changes
}

/// The bytes that pushed reports cost and the accuracy that they give.
struct PushResult {
    bytes_per_second: f64,
    /// The part of the time in which the entry's count was wrong, from 0 to 1.
    wrong_fraction: f64,
}

/// Simulates pushed reports of the changes of an agent's free seats.
fn push(changes: &[f64]) -> PushResult {
    let mut reporter = LoadReporter::default();
    let mut seats = 0;
    let mut report = |changed: bool| {
        seats += u32::from(changed);
        let state = LoadState {
            free_seats: seats % 20,
            ..LoadState::default()
        };
        let text = serde_json::to_string(&reporter.next_report(state))
            .expect("a report serializes to JSON");
        text.len() + PUSH_ENVELOPE_BYTES + FRAME_BYTES
    };
    let (mut now, mut i, mut bytes, mut wrong) = (0.0, 0, report(true), 0.0);
    while now < SECONDS {
        let next = changes.get(i).copied().unwrap_or(f64::MAX);
        if next > now + HEARTBEAT_SECONDS {
            now += HEARTBEAT_SECONDS;
            bytes += report(false);
            continue;
        }
        // A change during the coalescing time is reported when that time is over.
        let sent = next.max(now);
        wrong += sent + LATENCY_SECONDS - next;
        while changes.get(i).is_some_and(|c| *c <= sent) {
            i += 1;
        }
        bytes += report(true);
        now = sent + COALESCE_SECONDS;
    }
    PushResult {
        bytes_per_second: bytes as f64 / SECONDS,
        wrong_fraction: wrong / SECONDS,
    }
}

/// Returns the bytes of one poll: a request and a response with the whole load.
fn poll_bytes() -> f64 {
    let full = LoadReporter::default().next_report(LoadState::default());
    let text = serde_json::to_string(&full).expect("a report serializes to JSON");
    (text.len() + POLL_ENVELOPE_BYTES + 2 * FRAME_BYTES) as f64
}

/// Simulates polls and returns the part of the time in which the entry's count was wrong.
fn poll(changes: &[f64], interval: f64) -> f64 {
    let mut wrong = 0.0;
    let mut i = 0;
    let mut now = 0.0;
    while now < SECONDS {
        now += interval;
        let first = changes.get(i).copied().unwrap_or(f64::MAX);
        if first <= now {
            wrong += now + LATENCY_SECONDS - first;
        }
        while changes.get(i).is_some_and(|c| *c <= now) {
            i += 1;
        }
    }
    wrong / SECONDS
}
