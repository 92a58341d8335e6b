//! Slopes of state, bytes and time for docs/CAPACITY.md, from the state
//! machines themselves.
//!
//! `cargo run --release --example capacity`

use conf::ConfigurationRevision;
use conf::IssuedKey;
use conf::Policy;
use rand::SeedableRng;
use std::fs;
use std::hint;
use std::time;
use wire::LoadReporter;
use wire::LoadState;
use world::Configuration;
use world::Host;
use world::HostState;
use world::Name;
use world::Organisation;
use world::Role;

const ORGANISATIONS: [u64; 3] = [5, 1_000, 27_000];
const AGENTS: [usize; 3] = [13, 30, 1_300];
const ENTRIES: [usize; 2] = [3, 350];
const PAGE_KB: u64 = 4;

fn main() {
    for count in ORGANISATIONS {
        organisations(count);
    }
    for count in AGENTS {
        agents(count);
    }
    for count in ENTRIES {
        entries(count);
    }
    reports();
}

/// Memory of this process, in kB.
fn memory() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_KB
}

fn configuration(count: u64) -> Configuration {
    let mut random = rand::rngs::StdRng::seed_from_u64(count);
    let name = |i: u64| -> Name { format!("organisation-{i}").into() };
    Configuration {
        organisations: (0..count)
            .map(|i| Organisation {
                name: name(i),
                rate: 1_000,
                burst: 10_000,
            })
            .collect(),
        keys: (0..count)
            .map(|i| IssuedKey::generate(name(i), &mut random).key)
            .collect(),
        ..Configuration::default()
    }
}

fn organisations(count: u64) {
    let before = memory();
    let revision = ConfigurationRevision {
        revision: 1,
        content: configuration(count),
        writer: String::new(),
    };
    let with_contract = memory();
    let now = time::Instant::now();
    let mut escrow = quota::Escrow::new();
    let began = time::Instant::now();
    escrow.set_share(&revision.content.organisations, 0.1, now);
    let divide = began.elapsed();
    let with_slices = memory();
    let began = time::Instant::now();
    const CHARGES: u32 = 1_000;
    for i in 0..CHARGES {
        let id = quota::ChargeId(format!("request-{i}"));
        let organisation = format!("organisation-{}", u64::from(i) % count);
        hint::black_box(escrow.charge(&organisation, &id, 0, 0.0, now));
        escrow.settle(&organisation, &id, 0.0, now);
    }
    let charge = began.elapsed() / CHARGES;
    let json = serde_json::to_vec(&revision).expect("a configuration serializes to JSON");
    let began = time::Instant::now();
    let read: ConfigurationRevision = serde_json::from_slice(&json).expect("it is read back");
    let parse = began.elapsed();
    drop(read);
    println!(
        "{count} organisations with a key each: document {} kB, in memory {} kB, slices {} kB, read in {parse:?}, divided in {divide:?}, charge and settlement {charge:?}",
        json.len() / 1_000,
        with_contract - before,
        with_slices - with_contract,
    );
}

fn agents(count: usize) {
    let now = time::Instant::now();
    let before = memory();
    let mut fleet = route::Fleet::new(Policy::Goodput);
    for i in 0..count {
        let role = match i % 3 {
            0 => Role::Prefill,
            _ => Role::Decode,
        };
        let zone = format!("zone-{}", i % 8).into();
        let view = route::AgentView::new(zone, role, "summary".into());
        fleet.add_agent(format!("agent-{i}").into(), view);
    }
    let blocks = route::PrefixHashes::of_prompt(&"a prompt ".repeat(400));
    let began = time::Instant::now();
    const CHOICES: u32 = 1_000;
    let want = route::DecodeDemand {
        upstream: "summary",
        pieces: 1,
        gap_target: time::Duration::from_millis(31),
        strictest_target: time::Duration::from_millis(31),
    };
    for _ in 0..CHOICES {
        hint::black_box(fleet.choose_decode(&want, false, now));
        hint::black_box(fleet.choose_prefill("summary", "agent-1", 900, &blocks, now));
    }
    println!(
        "{count} agents: views {} kB, both choices of a request {:?}",
        memory() - before,
        began.elapsed() / CHOICES,
    );
}

fn entries(count: usize) {
    let base = time::Instant::now();
    let name = |i: usize| -> Name { format!("entry-{i}").into() };
    let mut roster = member::PeerTable::new(name(0), 1);
    let hosts = (0..count).map(|i| Host {
        name: name(i),
        address: ([127, 0, 0, 1], 7_000).into(),
        zone: "ruahine".into(),
        state: HostState::Live,
    });
    roster.handle_event(member::PeerEvent::HostListRead(hosts.collect()), base);
    let began = time::Instant::now();
    const TICKS: u32 = 1_000;
    for _ in 0..TICKS {
        hint::black_box(roster.handle_event(member::PeerEvent::Tick, base));
    }
    let tick = began.elapsed() / TICKS;
    let division = quota::Division {
        epoch: 7,
        holders: (0..count).map(name).collect(),
        prior: (0..count).map(name).collect(),
    };
    let mut epochs = quota::ShareTracker::new(name(0));
    epochs.adopt(division);
    let began = time::Instant::now();
    for i in 1..count {
        epochs.record_epoch(&name(i), 7);
    }
    println!(
        "{count} entries: a tick of the roster {tick:?}, an acknowledgement {:?}, part {:.5}",
        began.elapsed() / u32::try_from(count).unwrap_or(1),
        epochs.share(),
    );
}

/// Bytes of one report, without the frames of TCP and WebSocket.
fn reports() {
    let mut reporter = LoadReporter::default();
    let state = LoadState {
        free_seats: 12,
        free_pieces: 140,
        waiting_requests: 3,
        backlog_tokens: 12_345,
        token_rate: 8_123.0,
        saturated_rate: 67.0,
        revision: 5_700,
        epoch: 12,
        draining: false,
    };
    let envelope = r#"{"jsonrpc":"2.0","method":"peer_load","params":{"subscription":1234567890123456,"result":}}"#;
    let mut bytes = |state: LoadState| {
        let report = serde_json::to_string(&reporter.next_report(state)).expect("a report is JSON");
        report.len() + envelope.len()
    };
    let full = bytes(state);
    let beat = bytes(state);
    let changed = bytes(LoadState {
        free_seats: 11,
        free_pieces: 139,
        ..state
    });
    println!("report: full {full} bytes, a seat taken {changed} bytes, heartbeat {beat} bytes");
}
