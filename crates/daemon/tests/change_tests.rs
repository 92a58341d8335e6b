//! Tests that no request is lost beside a change of the configuration, a reload or a planned
//! stop while its workers are silent for a while.
//!
//! All workers are sound: they fall silent and go on. A request that an entry has read then
//! ends with its worker's answer, with a refusal or at its time limit.

mod changes;

use changes::Change;
use fake::tracks::CallerRequest;
use fake::tracks::KeptCaller;
use fake::tracks::Outcome;
use fake::tracks::RequestAccount;
use fake::tracks::SentRequest;
use fake::tracks::Silence;
use fake::tracks::SilenceGate;
use fake::tracks::SilencePoint;
use fake::tracks::SilentSite;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::net;
use std::ops;
use std::path;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;
use yare::parameterized;

/// How long changes and silences last.
const PLAY_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Retries beyond the ratio that an entry may make; few, as on a site with many entries.
const BUDGET_SLACK: &str = "4";
/// Number of concurrent callers.
const CALLER_COUNT: u64 = 16;
/// Longest wait of a caller for the next bytes; above the time limit of its request.
const PATIENCE: time::Duration = time::Duration::from_secs(12);
/// Time limit that callers give their requests.
const CALLER_TIMEOUT_MS: u64 = 8_000;
/// Times between two changes in milliseconds.
const CHANGE_INTERVAL_MS: ops::Range<u64> = 100..500;
/// Times between two silences in milliseconds.
const SILENCE_INTERVAL_MS: ops::Range<u64> = 50..350;
/// Durations of silences in milliseconds.
const SILENCE_MS: ops::RangeInclusive<u64> = 500..=2_500;
/// Pause of a caller that no entry accepts.
const CONNECT_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Starts two entries with two services of engines and two of plain hosts.
fn start_site() -> SilentSite {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut site = SilentSite::prepare(program, 2);
    site.add_workers("llm", Some("prefill"), 2);
    site.add_workers("llm", Some("decode"), 3);
    site.add_workers("app", None, 3);
    site.add_workers("llm-b", Some("decode"), 2);
    site.add_workers("app-b", None, 2);
    let services = &mut site.cluster.configuration["services"];
    for (index, name) in [(0, "llm-b"), (1, "app-b")] {
        let mut copy = services[index].clone();
        copy["name"] = json!(name);
        services.as_array_mut().expect("a list").push(copy);
    }
    for entry in &site.cluster.entries {
        entry.set_setting("budget_slack", BUDGET_SLACK);
    }
    site.cluster.start();
    site
}

/// Sends random requests on kept connections until `stop` is set.
fn send_until_stopped(
    addresses: &[net::SocketAddr],
    seed: u64,
    caller: u64,
    stop: &atomic::AtomicBool,
) -> Vec<SentRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (caller << 32));
    let mut sent = Vec::new();
    let mut connection: Option<KeptCaller> = None;
    while !stop.load(atomic::Ordering::Relaxed) {
        let address = addresses[rng.random_range(0..addresses.len())];
        let Some(mut kept) = connection
            .take()
            .or_else(|| KeptCaller::connect(address).ok())
        else {
            thread::sleep(CONNECT_INTERVAL);
            continue;
        };
        let id = format!("{seed:04x}{caller:04x}{:08x}", sent.len());
        let request = random_request(&mut rng, id);
        let record = kept.call(&request);
        if record.is_kept {
            connection = Some(kept);
        }
        sent.push(SentRequest { request, record });
    }
    sent
}

fn random_request(rng: &mut ChaCha8Rng, id: String) -> CallerRequest {
    let (method, path) = match rng.random_range(0..4) {
        kind @ 0..2 => {
            let route = ["once", "resumable"][kind];
            let (count, interval) = (rng.random_range(4..30), rng.random_range(5..60));
            ("POST", format!("/{route}/events-{count}-{interval}"))
        }
        kind => {
            let (method, route) = [("POST", "order"), ("GET", "status")][kind - 2];
            let framing = ["length", "chunked", "unframed"][rng.random_range(0..3)];
            let length = [100, 2_000, 200_000][rng.random_range(0..3)];
            (method, format!("/{route}/{framing}-{length}"))
        }
    };
    CallerRequest {
        method,
        path,
        id,
        patience: PATIENCE,
    }
}

/// Lets workers fall silent until `stop` is set: one or all of a service, at each point or
/// at any moment.
fn fall_silent_until_stopped(
    gates: &[Vec<sync::Arc<SilenceGate>>],
    seed: u64,
    stop: &atomic::AtomicBool,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    while !stop.load(atomic::Ordering::Relaxed) {
        let service = &gates[rng.random_range(0..gates.len())];
        let first = rng.random_range(0..service.len());
        let silent = match rng.random_bool(0.3) {
            true => &service[..],
            false => &service[first..=first],
        };
        let duration = time::Duration::from_millis(rng.random_range(SILENCE_MS));
        let point = random_point(&mut rng);
        for gate in silent.iter().filter(|g| g.is_idle()) {
            match point {
                Some(point) => gate.plan(Silence { point, duration }),
                None => gate.begin(duration),
            }
        }
        pause(&mut rng, SILENCE_INTERVAL_MS);
    }
}

/// Returns where a silence begins; none for any moment.
fn random_point(rng: &mut ChaCha8Rng) -> Option<SilencePoint> {
    let events = rng.random_range(0..6);
    match rng.random_range(0..11) {
        0 => Some(SilencePoint::Reservation),
        1 => Some(SilencePoint::Prefill),
        2 => Some(SilencePoint::Report),
        3 => Some(SilencePoint::Order),
        4 => Some(SilencePoint::BeforeHead),
        5 => Some(SilencePoint::InsideHead),
        6 => Some(SilencePoint::BetweenEvents(events)),
        7 => Some(SilencePoint::InsideEvent(events)),
        8 => Some(SilencePoint::InsideBody),
        9 => Some(SilencePoint::InsideRequest),
        _ => None,
    }
}

fn pause(rng: &mut ChaCha8Rng, range_ms: ops::Range<u64>) {
    thread::sleep(time::Duration::from_millis(rng.random_range(range_ms)));
}

/// Plays requests, silences and changes, and returns how all requests ended.
fn play(changes: &[Change], seed: u64) -> RequestAccount {
    let mut site = start_site();
    let initial = site.cluster.configuration.clone();
    let addresses: Vec<_> = site
        .cluster
        .entries
        .iter()
        .map(|e| e.caller_address)
        .collect();
    let gates = ["llm", "app", "llm-b", "app-b"].map(|s| site.gates(s));
    let stop = atomic::AtomicBool::new(false);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut sent = Vec::new();
    thread::scope(|scope| {
        let (addresses, stop) = (&addresses, &stop);
        let callers: Vec<_> = (0..CALLER_COUNT)
            .map(|n| scope.spawn(move || send_until_stopped(addresses, seed, n, stop)))
            .collect();
        scope.spawn(|| fall_silent_until_stopped(&gates, seed, stop));
        let end = time::Instant::now() + PLAY_TIME;
        while time::Instant::now() < end {
            pause(&mut rng, CHANGE_INTERVAL_MS);
            let change = changes[rng.random_range(0..changes.len())];
            changes::apply(&mut site, change, &initial, &mut rng);
        }
        stop.store(true, atomic::Ordering::Relaxed);
        for caller in callers {
            sent.extend(caller.join().expect("a caller does not panic"));
        }
    });
    let is_moved = |c: &Change| matches!(c, Change::Move | Change::DropServices | Change::Split);
    if changes.iter().all(is_moved) {
        let others = site.workers.iter().filter(|w| w.service.ends_with("-b"));
        let ran = others.map(|w| w.received_ids().len()).sum::<usize>();
        assert!(ran > 0, "no request went to the routes' other services");
    }
    let min_timeout_ms = match changes.contains(&Change::LowerTimeout) {
        true => changes::LOWER_TIMEOUT_MS,
        false => CALLER_TIMEOUT_MS,
    };
    RequestAccount::of_site(&site, &sent, time::Duration::from_millis(min_timeout_ms))
}

/// Each request that an entry has read is answered or refused although its worker is silent
/// for a while, beside each kind of change.
#[parameterized(
    moved_routes = { &[Change::Move], 1 },
    dropped_routes = { &[Change::DropRoutes], 2 },
    dropped_services = { &[Change::DropServices], 3 },
    split_routes = { &[Change::Split], 4 },
    raised_timeout = { &[Change::RaiseTimeout], 5 },
    lowered_timeout = { &[Change::LowerTimeout], 6 },
    idle_timeout = { &[Change::IdleTimeout], 7 },
    keys = { &[Change::Keys], 8 },
    storm = { &[Change::Storm], 9 },
    host_list = { &[Change::HostList], 10 },
    older_version = { &[Change::OlderVersion], 11 },
    reload = { &[Change::Reload], 12 },
    stop = { &[Change::Stop], 13 },
    all_at_once = { &changes::ALL_CHANGES, 14 },
)]
fn requests_are_answered_beside_a_change(changes: &[Change], seed: u64) {
    let account = play(changes, seed);
    let faults: String = account.faults().iter().map(|r| r.to_string()).collect();
    let answered = account.count(Outcome::Answered);
    println!(
        "{} requests, {answered} answered, {} refused, {} unread, {} overdue",
        account.rows.len(),
        account.count(Outcome::Refused),
        account.count(Outcome::Unread),
        account.count(Outcome::Overdue),
    );
    assert!(faults.is_empty(), "seed {seed}:\n{faults}");
    assert!(answered > 0, "seed {seed}: no request was answered");
}
