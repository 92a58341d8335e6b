//! Benchmarks of routing decisions for fleets of the present size and of the size
//! expected in future years.

// `criterion_group!` generates a public function without a doc comment.
#![allow(missing_docs)]

use conf::Policy;
use criterion::BenchmarkId;
use criterion::Criterion;
use route::AgentView;
use route::AttemptId;
use route::Fleet;
use route::LoadReport;
use route::PrefixHashes;
use route::SeatScheduler;
use route::Urgency;
use std::hint;
use std::time;
use world::Name;
use world::Role;

/// Numbers of agents.
const FLEET_SIZES: [usize; 2] = [30, 1_300];

fn demand() -> route::DecodeDemand<'static> {
    route::DecodeDemand {
        upstream: "summary",
        pieces: 1,
        gap_target: time::Duration::from_millis(31),
        strictest_target: time::Duration::from_millis(16),
    }
}

fn fleet(agents: usize) -> Fleet {
    let mut fleet = Fleet::new(Policy::Goodput);
    for i in 0..agents {
        let role = match i % 3 {
            0 => Role::Prefill,
            _ => Role::Decode,
        };
        let host: Name = format!("agent-{i}").into();
        let zone = format!("zone-{}", i % 8).into();
        fleet.add_agent(host.clone(), AgentView::new(zone, role, "summary".into()));
        let report = LoadReport {
            free_seats: (i % 7) as u32,
            free_pieces: 200,
            waiting_requests: (i % 5) as u32,
            backlog_tokens: (i % 11) as u64 * 500,
            token_rate: 8_000.0,
            saturated_rate: 50.0 + (i % 3) as f64 * 15.0,
        };
        fleet.update_load(&host, report);
    }
    fleet
}

fn choose(c: &mut Criterion) {
    let now = time::Instant::now();
    let prefixes = PrefixHashes::of_prompt(&"a prompt of some length ".repeat(200));
    for size in FLEET_SIZES {
        let mut fleet = fleet(size);
        c.bench_with_input(BenchmarkId::new("choose_decode", size), &size, |b, _| {
            b.iter(|| hint::black_box(fleet.choose_decode(&demand(), false, now)));
        });
        c.bench_with_input(BenchmarkId::new("choose_prefill", size), &size, |b, _| {
            b.iter(|| {
                let choice = fleet.choose_prefill("summary", "agent-1", 1_200, &prefixes, now);
                hint::black_box(choice)
            });
        });
    }
}

fn grant(c: &mut Criterion) {
    let now = time::Instant::now();
    c.bench_function("grant_one_of_100_waiting", |b| {
        b.iter_batched(
            || {
                let mut seats = SeatScheduler::new(1, 200);
                for i in 0..100 {
                    let urgency = Urgency {
                        due: now + time::Duration::from_millis(100 + i % 17),
                        yields: i % 5 == 0,
                        usage_share: i as f64 / 100.0,
                        lead_time: time::Duration::from_millis(50),
                        gap_target: time::Duration::from_millis(31),
                    };
                    seats.enqueue(AttemptId(i), 1, urgency);
                }
                seats
            },
            |mut seats| hint::black_box(seats.grant(now)),
            criterion::BatchSize::SmallInput,
        );
    });
}

criterion::criterion_group!(benches, choose, grant);
criterion::criterion_main!(benches);
