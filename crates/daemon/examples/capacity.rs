//! Measures how memory, bytes and computing time of the daemon's state machines grow with the numbers
//! of organisations, agents and entries. No daemon runs. docs/CAPACITY.md uses the results.
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

/// Numbers of organisations to measure, each with one key.
const ORGANISATION_COUNTS: [u64; 3] = [5, 1_000, 27_000];
/// Numbers of agents to measure.
const AGENT_COUNTS: [usize; 3] = [13, 30, 1_300];
/// Numbers of entries to measure.
const ENTRY_COUNTS: [usize; 2] = [3, 350];
/// The size of a memory page, in kB.
const PAGE_KB: u64 = 4;

fn main() {
    for count in ORGANISATION_COUNTS {
        measure_organisations(count);
    }
    for count in AGENT_COUNTS {
        measure_agents(count);
    }
    for count in ENTRY_COUNTS {
        measure_entries(count);
    }
    measure_reports();
}

/// Returns the resident memory of this process, in kB.
fn resident_kb() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_KB
}

/// Returns a configuration with this many organisations and a key for each.
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

/// Measures a configuration, an entry's shares of the allowances in it, and a charge with its
/// settlement.
fn measure_organisations(count: u64) {
    let initial_kb = resident_kb();
    let revision = ConfigurationRevision {
        revision: 1,
        content: configuration(count),
        writer: String::new(),
    };
    let configured_kb = resident_kb();
    let now = time::Instant::now();
    let mut allowances = quota::Escrow::new();
    let started = time::Instant::now();
    allowances.set_share(&revision.content.organisations, 0.1, now);
    let share_time = started.elapsed();
    let with_shares_kb = resident_kb();
    let started = time::Instant::now();
    const CHARGES: u32 = 1_000;
    for i in 0..CHARGES {
        let id = quota::ChargeId(format!("request-{i}"));
        let organisation = format!("organisation-{}", u64::from(i) % count);
        hint::black_box(allowances.charge(&organisation, &id, 0, 0.0, now));
        allowances.settle(&organisation, &id, 0.0, now);
    }
    let charge_time = started.elapsed() / CHARGES;
    let json = serde_json::to_vec(&revision).expect("a configuration serializes to JSON");
    let started = time::Instant::now();
    let parsed: ConfigurationRevision =
        serde_json::from_slice(&json).expect("the configuration deserializes");
    let parse_time = started.elapsed();
    drop(parsed);
    println!(
        "{count} organisations with a key each: document {} kB, in memory {} kB, shares {} kB, read in {parse_time:?}, shares set in {share_time:?}, charge and settlement {charge_time:?}",
        json.len() / 1_000,
        configured_kb - initial_kb,
        with_shares_kb - configured_kb,
    );
}

/// Measures the memory that an entry needs for agents, and the time to choose the engines for a
/// request.
fn measure_agents(count: usize) {
    let now = time::Instant::now();
    let initial_kb = resident_kb();
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
    let started = time::Instant::now();
    const CHOICES: u32 = 1_000;
    let demand = route::DecodeDemand {
        upstream: "summary",
        pieces: 1,
        gap_target: time::Duration::from_millis(31),
        strictest_target: time::Duration::from_millis(31),
    };
    for _ in 0..CHOICES {
        hint::black_box(fleet.choose_decode(&demand, false, now));
        hint::black_box(fleet.choose_prefill("summary", "agent-1", 900, &blocks, now));
    }
    println!(
        "{count} agents: {} kB, both choices of a request {:?}",
        resident_kb() - initial_kb,
        started.elapsed() / CHOICES,
    );
}

/// Measures an entry's table of peers and the division of the allowances among entries.
fn measure_entries(count: usize) {
    let now = time::Instant::now();
    let name = |i: usize| -> Name { format!("entry-{i}").into() };
    let mut peers = member::PeerTable::new(name(0), 1);
    let hosts = (0..count).map(|i| Host {
        name: name(i),
        address: ([127, 0, 0, 1], 7_000).into(),
        zone: "ruahine".into(),
        state: HostState::Live,
    });
    peers.handle_event(member::PeerEvent::HostListRead(hosts.collect()), now);
    let started = time::Instant::now();
    const TICKS: u32 = 1_000;
    for _ in 0..TICKS {
        hint::black_box(peers.handle_event(member::PeerEvent::Tick, now));
    }
    let tick_time = started.elapsed() / TICKS;
    let division = quota::Division {
        epoch: 7,
        holders: (0..count).map(name).collect(),
        prior: (0..count).map(name).collect(),
    };
    let mut tracker = quota::ShareTracker::new(name(0));
    tracker.adopt(division);
    let started = time::Instant::now();
    for i in 1..count {
        tracker.record_epoch(&name(i), 7);
    }
    println!(
        "{count} entries: a tick of the peer table {tick_time:?}, an acknowledgement {:?}, share {:.5}",
        started.elapsed() / u32::try_from(count).unwrap_or(1),
        tracker.share(),
    );
}

/// Measures the bytes of an agent's load report, without the framing of TCP and WebSocket.
fn measure_reports() {
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
        let report = serde_json::to_string(&reporter.next_report(state))
            .expect("a report serializes to JSON");
        report.len() + envelope.len()
    };
    let full = bytes(state);
    let heartbeat = bytes(state);
    let changed = bytes(LoadState {
        free_seats: 11,
        free_pieces: 139,
        ..state
    });
    println!(
        "report: full {full} bytes, a seat taken {changed} bytes, heartbeat {heartbeat} bytes"
    );
}
