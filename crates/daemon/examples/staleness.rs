//! Pushed deltas against polling at equal bytes: how long an entry's view of an
//! agent's free seats is wrong, on a virtual clock.
//!
//! `cargo run --release --example staleness`

use rand::Rng;
use rand::SeedableRng;
use wire::LoadReporter;
use wire::LoadState;

/// Seconds of virtual time for each row.
const SECONDS: f64 = 600.0;
/// Changes of the free seats each second: at rest, in use, nearly full.
const RATES: [f64; 4] = [0.1, 1.0, 5.0, 20.0];
/// As the daemon's: a heartbeat at least this often, changes told together.
const BEAT: f64 = 0.3;
const COALESCE: f64 = 0.01;
/// A report on its way, in seconds.
const LINK: f64 = 0.001;
/// Frames of TCP, IP and WebSocket for each message.
const FRAME_BYTES: usize = 50;
const PUSH_ENVELOPE: usize = 90;
/// A poll: its request and the envelope of its answer.
const POLL_ENVELOPE: usize = 60 + 40;

fn main() {
    println!("changes/s  bytes/s  push: wrong  poll every  poll: wrong");
    for rate in RATES {
        let changes = draw(rate);
        let push = push(&changes);
        let interval = poll_bytes() / push.bytes;
        let wrong = poll(&changes, interval);
        println!(
            "{rate:>9.1}  {:>7.0}  {:>9.3} %  {interval:>8.3} s  {:>9.3} %",
            push.bytes,
            100.0 * push.wrong,
            100.0 * wrong
        );
    }
}

/// When the free seats change, from a seed.
fn draw(rate: f64) -> Vec<f64> {
    let mut random = rand::rngs::StdRng::seed_from_u64(7);
    let mut at = 0.0;
    let mut changes = Vec::new();
    while at < SECONDS {
        at -= random.random::<f64>().max(1e-12).ln() / rate;
        changes.push(at);
    }
    changes
}

/// Bytes a second, and the part of time that the view was wrong.
struct Outcome {
    bytes: f64,
    wrong: f64,
}

fn push(changes: &[f64]) -> Outcome {
    let mut reporter = LoadReporter::default();
    let mut seats = 0;
    let mut report = |changed: bool| {
        seats += u32::from(changed);
        let state = LoadState {
            free_seats: seats % 20,
            ..LoadState::default()
        };
        let text = serde_json::to_string(&reporter.next_report(state)).expect("a report is JSON");
        text.len() + PUSH_ENVELOPE + FRAME_BYTES
    };
    let (mut now, mut i, mut bytes, mut wrong) = (0.0, 0, report(true), 0.0);
    while now < SECONDS {
        let next = changes.get(i).copied().unwrap_or(f64::MAX);
        if next > now + BEAT {
            now += BEAT;
            bytes += report(false);
            continue;
        }
        // What changed while the last report was held back is told at once.
        let sent = next.max(now);
        wrong += sent + LINK - next;
        while changes.get(i).is_some_and(|c| *c <= sent) {
            i += 1;
        }
        bytes += report(true);
        now = sent + COALESCE;
    }
    Outcome {
        bytes: bytes as f64 / SECONDS,
        wrong: wrong / SECONDS,
    }
}

/// Bytes of one poll: a request, and an answer that tells everything.
fn poll_bytes() -> f64 {
    let full = LoadReporter::default().next_report(LoadState::default());
    let text = serde_json::to_string(&full).expect("a report is JSON");
    (text.len() + POLL_ENVELOPE + 2 * FRAME_BYTES) as f64
}

fn poll(changes: &[f64], interval: f64) -> f64 {
    let mut wrong = 0.0;
    let mut i = 0;
    let mut now = 0.0;
    while now < SECONDS {
        now += interval;
        let first = changes.get(i).copied().unwrap_or(f64::MAX);
        if first <= now {
            wrong += now + LINK - first;
        }
        while changes.get(i).is_some_and(|c| *c <= now) {
            i += 1;
        }
    }
    wrong / SECONDS
}
