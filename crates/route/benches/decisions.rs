//! What decisions cost at today's size and at that of the years to come.

// The group's macro writes a function without a comment.
#![allow(missing_docs)]

use conf::Policy;
use criterion::BenchmarkId;
use criterion::Criterion;
use route::Blocks;
use route::Fleet;
use route::Report;
use route::Seats;
use route::Ticket;
use route::Urgency;
use route::View;
use std::hint;
use std::time;
use world::Name;
use world::Role;

const SIZES: [usize; 2] = [30, 1_300];

fn want() -> route::Want<'static> {
    route::Want {
        upstream: "summary",
        pieces: 1,
        token: time::Duration::from_millis(31),
        strictest: time::Duration::from_millis(16),
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
        fleet.join(host.clone(), View::new(zone, role, "summary".into()));
        let report = Report {
            seats: (i % 7) as u32,
            pieces: 200,
            waiting: (i % 5) as u32,
            backlog: (i % 11) as u64 * 500,
            pace: 8_000.0,
            crowded: 50.0 + (i % 3) as f64 * 15.0,
        };
        fleet.report(&host, report);
    }
    fleet
}

fn choose(c: &mut Criterion) {
    let now = time::Instant::now();
    let blocks = Blocks::of_prompt(&"a prompt of some length ".repeat(200));
    for size in SIZES {
        let mut fleet = fleet(size);
        c.bench_with_input(BenchmarkId::new("choose_decode", size), &size, |b, _| {
            b.iter(|| hint::black_box(fleet.choose_decode(&want(), false, now)));
        });
        c.bench_with_input(BenchmarkId::new("choose_prefill", size), &size, |b, _| {
            b.iter(|| {
                let pick = fleet.choose_prefill("summary", "agent-1", 1_200, &blocks, now);
                hint::black_box(pick)
            });
        });
    }
}

fn grant(c: &mut Criterion) {
    let now = time::Instant::now();
    c.bench_function("grant_one_of_100_waiting", |b| {
        b.iter_batched(
            || {
                let mut seats = Seats::new(1, 200);
                for i in 0..100 {
                    let urgency = Urgency {
                        due: now + time::Duration::from_millis(100 + i % 17),
                        waits: i % 5 == 0,
                        share: i as f64 / 100.0,
                        work: time::Duration::from_millis(50),
                        token: time::Duration::from_millis(31),
                    };
                    seats.bid(Ticket(i), 1, urgency);
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
