//! Numbers that callers, operators and peers send reach the decisions as they are. Zero, tiny
//! and huge ones must neither end the process nor wrap around.

use std::collections;
use std::net;
use std::time;
use world::Name;
use yare::parameterized;

fn engine(id: &str, role: seam::Role) -> seam::Member {
    seam::Member {
        id: Name::from(id),
        service: Name::from("chat"),
        address: net::SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: Name::from("ruahine"),
        slots: 4,
        state: seam::MemberState::Ready,
        role: Some(role),
        cold_left: std::time::Duration::ZERO,
        started_ms: 1,
    }
}

fn prefill_pool() -> pool::PrefillPool {
    let mut pool = pool::PrefillPool::default();
    pool.set_engines([engine("a", seam::Role::Prefill)].iter());
    pool
}

fn decode_pool() -> pool::DecodePool {
    let mut pool = pool::DecodePool::default();
    let spec = seam::EngineSpec {
        slots: 4,
        capacity_tokens: 1_000,
        handle_ttl: time::Duration::ZERO,
        max_reservation: time::Duration::ZERO,
        switch_time: time::Duration::ZERO,
    };
    pool.set_engines([engine("a", seam::Role::Decode)].iter(), &spec);
    pool
}

fn by_engine<T>(value: T) -> collections::BTreeMap<Name, T> {
    collections::BTreeMap::from([(Name::from("a"), value)])
}

/// A caller that states no tokens has a prompt of 0 tokens. Its time says nothing of the
/// engine's speed.
#[test]
fn prompt_without_tokens_is_no_measurement() {
    let now = time::Instant::now();
    let mut pool = prefill_pool();
    pool.record_prefill("a", 0, time::Duration::from_millis(30));
    assert!(pool.speeds().is_empty());
    for tokens in [0, 3_000] {
        let picked = pool.pick(tokens, None, now);
        assert!(picked.is_some_and(|(_, took)| took < time::Duration::from_secs(1)));
    }
}

#[parameterized(
    zero = { 0.0 },
    negative = { -5.0 },
    tiny = { 1e-300 },
    infinite = { f64::INFINITY },
    not_a_number = { f64::NAN },
)]
fn speed_of_a_peer_is_left_out_if_it_is_none(speed: f64) {
    let now = time::Instant::now();
    let mut pool = prefill_pool();
    pool.add_peer_speeds(&by_engine(speed));
    assert!(pool.speeds().is_empty());
    assert!(pool.pick(3_000, None, now).is_some());
}

#[test]
fn huge_backlogs_of_peers_are_added_up() {
    let now = time::Instant::now();
    let mut pool = prefill_pool();
    for peer in ["p", "q"] {
        pool.update_peer(&Name::from(peer), by_engine(u64::MAX), now);
    }
    pool.start_prompt("a", 7, now);
    assert_eq!(pool.backlog("a", now), u64::MAX);
    assert!(pool.pick(3_000, None, now).is_some());
}

#[test]
fn huge_loads_of_peers_leave_no_room() {
    let now = time::Instant::now();
    let mut pool = decode_pool();
    let load = pool::EngineLoad {
        memory: pool::MemoryForecast::from([u64::MAX; 6]),
        streams: u32::MAX,
        paused: u32::MAX,
    };
    for peer in ["p", "q"] {
        pool.update_peer(&Name::from(peer), by_engine(load), now);
    }
    let need = pool::MemoryForecast::constant(10);
    pool.start_stream("a", need, now);
    assert_eq!(pool.load("a", now).streams, u32::MAX);
    assert_eq!(pool.pick(need, "ruahine", || 0.0, now), None);
    assert!(pool.fill_ratio(now) > 1.0);
}

#[test]
fn huge_calls_of_peers_are_added_up() {
    let now = time::Instant::now();
    let mut balancer = pool::HostBalancer::default();
    balancer.set_hosts(
        [
            engine("a", seam::Role::Decode),
            engine("b", seam::Role::Decode),
        ]
        .iter(),
    );
    for peer in ["p", "q"] {
        balancer.update_peer(&Name::from(peer), by_engine(u32::MAX), now);
    }
    balancer.start_call("a");
    assert_eq!(balancer.pick("ruahine", &[], now), Some(Name::from("b")));
}

/// A peer tells an entry that has restarted what was admitted, by its age.
#[parameterized(
    huge = { vec![u64::MAX, u64::MAX] },
    long = { vec![1; 200_000] },
)]
fn history_of_a_peer_is_bounded(by_age: Vec<u64>) {
    let now = time::Instant::now();
    let tolerance = pool::Tolerance {
        window: 8 * time::Duration::from_secs(1),
        overage: 0.1,
        slack: 0.0,
    };
    let mut limiter = pool::RateLimiter::new(tolerance, 1);
    limiter.record_restart(now);
    let report = pool::UsageReport {
        run: 2,
        number: 1,
        has_history: true,
        history: Some(by_engine(by_age)),
        ..pool::UsageReport::default()
    };
    limiter.update_peer(&Name::from("p"), &report, now);
    assert!(limiter.has_history());
    let tenant = seam::Tenant {
        name: Name::from("a"),
        keys: collections::BTreeSet::new(),
        priority: None,
        rate: Some(10.0),
        burst: 10.0,
        default_units: None,
    };
    // 33 steps of a quarter of a second are in the window, at most with a unit each.
    let is_huge = report
        .history
        .is_some_and(|h| h[&Name::from("a")].len() == 2);
    let charged = limiter.charge(&tenant, 50.0, now);
    assert_eq!(charged.is_err(), is_huge, "{charged:?}");
}
