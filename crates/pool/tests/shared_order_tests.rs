//! Tests of one order of streams over many entries, by a pool that more is asked of than it
//! holds: what callers of two urgencies get, with messages lost and late.

use pool::MemoryForecast;
use pool::SharedOrder;
use rand::Rng;
use rand::SeedableRng;
use std::collections;
use std::time;
use world::Name;
use yare::parameterized;

const STEP: time::Duration = time::Duration::from_millis(5);
const ENTRIES: usize = 32;
const ENGINES: usize = 20;
const CAPACITY: u64 = 30_000;
const STREAM_TOKENS: u64 = 3_300;
const STREAM_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Time between two messages of an entry, in steps.
const GOSSIP: u32 = 50;
/// Streams that arrive in a second: the pool holds 180, which is 72 in a second.
const USUAL_PER_S: f64 = 100.0;
const URGENT_PER_S: f64 = 4.0;
const URGENT: u8 = 0;
const USUAL: u8 = 2;
const URGENT_TARGET: time::Duration = time::Duration::from_millis(800);
const USUAL_TARGET: time::Duration = time::Duration::from_millis(2_000);

fn engine(index: usize) -> seam::Member {
    seam::Member {
        id: Name::from(format!("engine-{index}")),
        service: Name::from("llm"),
        address: ([127, 0, 0, 1], 80).into(),
        zone: Name::from("a"),
        slots: 12,
        state: seam::MemberState::Ready,
        role: Some(seam::Role::Decode),
        cold_left: time::Duration::ZERO,
        started_ms: 1,
    }
}

fn spec() -> seam::EngineSpec {
    seam::EngineSpec {
        slots: 12,
        capacity_tokens: CAPACITY,
        handle_ttl: time::Duration::from_millis(500),
        max_reservation: time::Duration::from_secs(2),
        switch_time: time::Duration::from_secs(6),
    }
}

/// One entry with its queue, its view of the engines and what it knows of the others' streams.
struct Entry {
    queue: pool::WaitQueue,
    engines: pool::DecodePool,
    order: SharedOrder,
    running: Vec<(time::Instant, Name)>,
}

/// How many streams of an urgency arrived, and how many of them began in time.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    asked: u32,
    in_time: u32,
}

/// Plays 12 s of the load; without `is_shared`, each entry keeps its own order.
fn play(is_shared: bool, lost_share: f64, seed: u64) -> [Served; 2] {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let start = time::Instant::now();
    let members: Vec<seam::Member> = (0..ENGINES).map(engine).collect();
    let names: Vec<Name> = (0..ENTRIES)
        .map(|i| Name::from(format!("entry-{i}")))
        .collect();
    let mut entries: Vec<Entry> = (0..ENTRIES)
        .map(|_| {
            let mut engines = pool::DecodePool::default();
            engines.set_engines(members.iter(), &spec());
            let mut queue = pool::WaitQueue::default();
            queue.set_shared(is_shared);
            Entry {
                queue,
                engines,
                order: SharedOrder::default(),
                running: Vec::new(),
            }
        })
        .collect();
    let need = MemoryForecast::constant(STREAM_TOKENS);
    let mut used: collections::BTreeMap<Name, u64> = collections::BTreeMap::new();
    let mut served = [Served::default(); 2];
    let mut last_ticket = 0;
    for step in 0..2_400_u32 {
        let now = start + STEP * step;
        for (per_s, priority, target) in [
            (URGENT_PER_S, URGENT, URGENT_TARGET),
            (USUAL_PER_S, USUAL, USUAL_TARGET),
        ] {
            if !random.random_bool(per_s * STEP.as_secs_f64()) {
                continue;
            }
            let entry = &mut entries[random.random_range(0..ENTRIES)];
            last_ticket += 1;
            let stream = pool::QueuedStream {
                memory: need,
                due: now + target,
                caller_deadline: now + target * 4,
                is_retry: false,
                is_suspect: false,
                is_urgent: is_shared && priority == URGENT,
                priority,
                queued_at: now,
            };
            entry.queue.insert(pool::Ticket(last_ticket), stream);
            entry.order.record_arrival(priority, STREAM_TOKENS, now);
            served[usize::from(priority / USUAL)].asked += 1;
        }
        for entry in &mut entries {
            for (_, engine) in entry.running.extract_if(.., |(end, _)| *end <= now) {
                entry.engines.end_stream(&engine, need, true);
                *used.entry(engine).or_default() -= STREAM_TOKENS;
            }
            for ticket in entry.queue.expired(now) {
                entry.queue.remove(ticket);
            }
            if is_shared && step % 20 == 0 {
                let (ids, capacity) = entry.engines.ready_engines();
                entry
                    .order
                    .set_waiting(&entry.queue.waiting_by_priority(now));
                let kept = entry.order.kept_tokens(USUAL, now);
                let stream = entry.order.urgent_memory(USUAL, now);
                let kept = pool::kept_room(ids.iter(), kept, stream, capacity);
                entry.engines.set_kept(USUAL, kept);
            }
            for (ticket, stream) in entry.queue.ordered(now) {
                let mut draw = || random.random_range(0.0..1.0);
                let rank = (stream.priority, stream.is_urgent);
                let picked = match is_shared {
                    true => entry.engines.pick_ranked(need, rank, "a", &mut draw, now),
                    false => entry.engines.pick(need, "a", &mut draw, now),
                };
                let Some(engine) = picked else {
                    continue;
                };
                let held = used.entry(engine.clone()).or_default();
                if *held + STREAM_TOKENS > CAPACITY {
                    entry.engines.record_refusal(&engine, now);
                    continue;
                }
                *held += STREAM_TOKENS;
                entry.queue.remove(ticket);
                entry.engines.start_stream(&engine, need, now);
                entry.running.push((now + STREAM_TIME, engine));
                entry.order.record_start(stream.priority, now);
                let is_in_time = now <= stream.due;
                served[usize::from(stream.priority / USUAL)].in_time += u32::from(is_in_time);
            }
        }
        for sender in 0..ENTRIES {
            if !(step + sender as u32).is_multiple_of(GOSSIP) {
                continue;
            }
            let waiting = entries[sender].queue.waiting_by_priority(now);
            entries[sender].order.set_waiting(&waiting);
            let reports = entries[sender].order.reports(now);
            let loads = entries[sender].engines.own_loads();
            for (index, entry) in entries.iter_mut().enumerate() {
                if index != sender && !random.random_bool(lost_share) {
                    entry.order.update_peer(&names[sender], &reports, now);
                    entry
                        .engines
                        .update_peer(&names[sender], loads.clone(), now);
                }
            }
        }
    }
    served
}

fn share(served: Served) -> f64 {
    f64::from(served.in_time) / f64::from(served.asked.max(1))
}

/// The urgent are few, and each entry's queue holds one at a time at most.
#[parameterized(
    calm = { 0.0 },
    third_of_messages_lost = { 0.33 },
)]
fn urgent_streams_find_room_in_a_full_pool(lost_share: f64) {
    for seed in 0..3 {
        let [urgent, usual] = play(true, lost_share, seed);
        let [own, _] = play(false, lost_share, seed);
        let (urgent, own) = (share(urgent), share(own));
        assert!(urgent >= 0.9, "{urgent}, seed {seed}");
        assert!(
            urgent > own,
            "{urgent} against {own} by each entry's own order"
        );
        assert!(share(usual) >= 0.5, "{usual:?}, seed {seed}");
    }
}

#[test]
fn nothing_is_kept_where_nobody_urgent_comes() {
    let now = time::Instant::now();
    let mut order = SharedOrder::default();
    order.record_arrival(USUAL, STREAM_TOKENS, now);
    assert_eq!(order.kept_tokens(USUAL, now), 0);
    order.record_arrival(URGENT, STREAM_TOKENS, now);
    assert!(order.kept_tokens(USUAL, now) > 0);
    let later = now + time::Duration::from_secs(5);
    assert_eq!(order.kept_tokens(USUAL, later), 0);
    assert_eq!(order.kept_tokens(URGENT, now), 0);
}

#[test]
fn wait_follows_what_goes_before() {
    let now = time::Instant::now();
    let mut order = SharedOrder::default();
    let report = |priority, waiting, starts| pool::BandReport {
        priority,
        waiting,
        starts,
        ..pool::BandReport::default()
    };
    let reports = [report(URGENT, 10, 5.0), report(USUAL, 40, 20.0)];
    order.update_peer(&Name::from("peer"), &reports, now);
    let millis = |order: &mut SharedOrder, priority| order.expected_wait(priority, now).as_millis();
    assert_eq!(millis(&mut order, URGENT), 400);
    assert_eq!(millis(&mut order, USUAL), 2_000);
    assert!(order.waits_elsewhere(USUAL, now));
    // An old report says nothing.
    let later = now + time::Duration::from_secs(2);
    assert_eq!(order.expected_wait(USUAL, later), time::Duration::ZERO);
    assert!(!order.waits_elsewhere(USUAL, later));
}

/// Another build or a fault may send any number.
#[test]
fn absurd_reports_are_left_out() {
    let now = time::Instant::now();
    let mut order = SharedOrder::default();
    let absurd = [f64::NAN, f64::INFINITY, -1.0, 1e300].map(|arrivals| pool::BandReport {
        arrivals,
        memory: 1e4,
        ..pool::BandReport::default()
    });
    order.update_peer(&Name::from("peer"), &absurd, now);
    assert_eq!(order.kept_tokens(USUAL, now), 0);
    let tokens = pool::BandReport {
        tokens: u64::MAX,
        waiting: u32::MAX,
        ..pool::BandReport::default()
    };
    order.update_peer(&Name::from("peer"), &[tokens, tokens], now);
    assert_eq!(order.kept_tokens(USUAL, now), u64::MAX);
    let ids: Vec<Name> = (0..3).map(|i| engine(i).id).collect();
    let kept = pool::kept_room(ids.iter(), u64::MAX, u64::MAX / 4, CAPACITY);
    assert!(kept.values().all(|k| *k <= CAPACITY / 2));
}
