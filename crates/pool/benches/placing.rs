//! What placing costs one entry at the sizes of the first sites, the grown ones and
//! the years to come, with as many peers as go with them.

// The group's macro writes a function without a comment.
#![allow(missing_docs)]

use criterion::BenchmarkId;
use criterion::Criterion;
use std::collections;
use std::hint;
use std::net;
use std::time;
use world::Name;

/// Engines and entries.
const SIZES: [(usize, usize); 3] = [(13, 4), (90, 32), (1_300, 350)];
/// Engines at which one peer has streams or prompts.
const BUSY: usize = 5;
/// Tokens that one stream or prompt takes.
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
        started_ms: 1,
    };
    (0..count).map(engine).collect()
}

/// The engines at which a peer has something.
fn busy(peer: usize, engines: usize) -> impl Iterator<Item = Name> {
    (0..BUSY).map(move |i| format!("engine-{}", (peer * BUSY + i) % engines).into())
}

fn seats(engines: usize, peers: usize, now: time::Instant) -> pool::DecodePool {
    let facts = seam::EngineSpec {
        slots: 64,
        capacity_tokens: 31_352,
        handle_ttl: time::Duration::from_millis(500),
        max_hold: time::Duration::from_secs(2),
        switch_time: time::Duration::from_secs(6),
    };
    let mut seats = pool::DecodePool::default();
    seats.set_engines(self::engines(engines).iter(), &facts);
    for peer in 0..peers {
        let load = pool::EngineLoad {
            tokens: TOKENS,
            streams: 1,
        };
        let loads = busy(peer, engines).map(|id| (id, load)).collect();
        seats.update_peer(&format!("peer-{peer}").into(), loads, now);
        seats
            .failures
            .update_peer(&format!("peer-{peer}").into(), &failed(), now);
    }
    seats
}

fn lanes(engines: usize, peers: usize, now: time::Instant) -> pool::PrefillPool {
    let mut lanes = pool::PrefillPool::default();
    lanes.set_engines(self::engines(engines).iter());
    for peer in 0..peers {
        let backlogs = busy(peer, engines).map(|id| (id, TOKENS)).collect();
        lanes.update_peer(&format!("peer-{peer}").into(), backlogs, now);
        lanes
            .failures
            .update_peer(&format!("peer-{peer}").into(), &failed(), now);
    }
    lanes
}

fn failed() -> collections::BTreeMap<Name, u64> {
    collections::BTreeMap::from([("engine-1".into(), 500)])
}

fn place(c: &mut Criterion) {
    let now = time::Instant::now();
    for (engines, entries) in SIZES {
        let seats = seats(engines, entries - 1, now);
        c.bench_with_input(BenchmarkId::new("pick_seat", engines), &engines, |b, _| {
            b.iter(|| hint::black_box(seats.pick(TOKENS, "zone-1", || 0.5, now)));
        });
        let lanes = lanes(engines, entries - 1, now);
        c.bench_with_input(BenchmarkId::new("pick_lane", engines), &engines, |b, _| {
            b.iter(|| hint::black_box(lanes.pick(TOKENS, Some("zone-1"), now)));
        });
    }
}

criterion::criterion_group!(benches, place);
criterion::criterion_main!(benches);
