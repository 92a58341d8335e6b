//! Benchmarks how long one entry takes to pick an engine: at the size of the first
//! sites, of sites that have grown and of sites in later years, each with its
//! number of peers.

// The macro `criterion_group` generates a function without a doc comment.
#![allow(missing_docs)]

use criterion::BenchmarkId;
use criterion::Criterion;
use std::collections;
use std::hint;
use std::net;
use std::time;
use world::Name;

/// Numbers of engines and of entries.
const SIZES: [(usize, usize); 3] = [(13, 4), (90, 32), (1_300, 350)];
/// Number of engines at which each peer has streams or prompts.
const ENGINES_PER_PEER: usize = 5;
/// Tokens of one stream or prompt.
const TOKENS: u64 = 3_200;

fn engines(count: usize) -> Vec<seam::Member> {
    let engine = |i: usize| seam::Member {
        id: format!("engine-{i}").into(),
        service: "llm".into(),
        address: net::SocketAddr::from(([127, 0, 0, 1], 9_000)),
        zone: format!("zone-{}", i % 4).into(),
        slots: 64,
        state: seam::MemberState::Ready,
        role: Some(match i % 3 {
            0 => seam::Role::Prefill,
            _ => seam::Role::Decode,
        }),
        cold_left: std::time::Duration::ZERO,
        started_ms: 1,
    };
    (0..count).map(engine).collect()
}

/// Returns the engines at which a peer has streams or prompts.
fn peer_engines(peer: usize, engines: usize) -> impl Iterator<Item = Name> {
    (0..ENGINES_PER_PEER)
        .map(move |i| format!("engine-{}", (peer * ENGINES_PER_PEER + i) % engines).into())
}

fn decode_pool(engine_count: usize, peers: usize, now: time::Instant) -> pool::DecodePool {
    let spec = seam::EngineSpec {
        slots: 64,
        capacity_tokens: 31_352,
        handle_ttl: time::Duration::from_millis(500),
        max_reservation: time::Duration::from_secs(2),
        switch_time: time::Duration::from_secs(6),
    };
    let mut pool = pool::DecodePool::default();
    pool.set_engines(engines(engine_count).iter(), &spec);
    for peer in 0..peers {
        let load = pool::EngineLoad {
            memory: pool::MemoryForecast::constant(TOKENS),
            streams: 1,
            paused: 0,
        };
        let loads = peer_engines(peer, engine_count)
            .map(|id| (id, load))
            .collect();
        pool.update_peer(&format!("peer-{peer}").into(), loads, now);
        pool.failures
            .update_peer(&format!("peer-{peer}").into(), &failed_engines(), now);
    }
    pool
}

fn prefill_pool(engine_count: usize, peers: usize, now: time::Instant) -> pool::PrefillPool {
    let mut pool = pool::PrefillPool::default();
    pool.set_engines(engines(engine_count).iter());
    for peer in 0..peers {
        let backlogs = peer_engines(peer, engine_count)
            .map(|id| (id, TOKENS))
            .collect();
        pool.update_peer(&format!("peer-{peer}").into(), backlogs, now);
        pool.failures
            .update_peer(&format!("peer-{peer}").into(), &failed_engines(), now);
    }
    pool
}

fn failed_engines() -> collections::BTreeMap<Name, u64> {
    collections::BTreeMap::from([("engine-1".into(), 500)])
}

/// Measures both selections: `pick_seat` is that of a decode engine, and `pick_lane`
/// that of a prefill engine.
fn pick(c: &mut Criterion) {
    let now = time::Instant::now();
    for (engines, entries) in SIZES {
        let decode_pool = decode_pool(engines, entries - 1, now);
        let need = pool::MemoryForecast::constant(TOKENS);
        c.bench_with_input(BenchmarkId::new("pick_seat", engines), &engines, |b, _| {
            b.iter(|| hint::black_box(decode_pool.pick(need, "zone-1", || 0.5, now)));
        });
        let prefill_pool = prefill_pool(engines, entries - 1, now);
        c.bench_with_input(BenchmarkId::new("pick_lane", engines), &engines, |b, _| {
            b.iter(|| hint::black_box(prefill_pool.pick(TOKENS, Some("zone-1"), now)));
        });
    }
}

/// Measures how long it takes to see how a request stands, beside as many verdicts as are
/// kept.
fn standing(c: &mut Criterion) {
    let now = time::Instant::now();
    let mut quarantine = pool::CrashQuarantine::default();
    for number in 0..64 {
        let report = pool::VerdictReport {
            elements: [pool::Element::Part(format!("bad{number}").into())].into(),
            crashes: Vec::new(),
            age_ms: 0,
            revision: None,
        };
        quarantine.record_verdict(&report, now);
    }
    for parts in [3, 30] {
        let parts_of_request = (0..parts).map(|i| pool::Element::Part(format!("5c1e{i}").into()));
        let elements: pool::ElementSet = parts_of_request.collect();
        c.bench_with_input(BenchmarkId::new("standing", parts), &parts, |b, _| {
            b.iter(|| hint::black_box(quarantine.standing(&elements, now)));
        });
        c.bench_with_input(BenchmarkId::new("record_answer", parts), &parts, |b, _| {
            b.iter(|| quarantine.record_answer(hint::black_box(&elements), now));
        });
    }
}

criterion::criterion_group!(benches, pick, standing);
criterion::criterion_main!(benches);
