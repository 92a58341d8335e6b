//! Tests of the scheduling decisions, on an injected clock.

use std::collections;
use std::time;
use world::Name;
use yare::parameterized;

const MS: time::Duration = time::Duration::from_millis(1);

/// Returns the start of a test; later times are derived from it.
/// Lease of an entry that may order engines.
const LEASE: seam::LeaseId = seam::LeaseId {
    era: seam::Era(1),
    number: 7,
};

/// Returns a revision of the store's first era.
fn revision(number: u64) -> seam::Revision {
    seam::Revision::new(seam::Era(1), number)
}

fn start() -> time::Instant {
    time::Instant::now()
}

fn engine_spec(capacity: u64) -> seam::EngineSpec {
    seam::EngineSpec {
        slots: 64,
        capacity_tokens: capacity,
        handle_ttl: MS * 500,
        max_reservation: MS * 2_000,
        switch_time: MS * 6_000,
    }
}

fn member(id: &str, role: Option<seam::Role>) -> seam::Member {
    let port = 9_000 + id.bytes().map(u16::from).sum::<u16>();
    seam::Member {
        id: Name::from(id),
        service: Name::from("llm"),
        address: format!("10.0.0.1:{port}")
            .parse()
            .expect("the address is valid"),
        zone: Name::from("ruahine"),
        slots: 6,
        state: seam::MemberState::Ready,
        role,
        cold_left: std::time::Duration::ZERO,
        started_ms: 1,
    }
}

fn decode_members(ids: &[&str]) -> Vec<seam::Member> {
    let role = Some(seam::Role::Decode);
    ids.iter().map(|id| member(id, role)).collect()
}

fn prefill_members(ids: &[&str]) -> Vec<seam::Member> {
    let role = Some(seam::Role::Prefill);
    ids.iter().map(|id| member(id, role)).collect()
}

fn decode_pool(ids: &[&str], capacity: u64) -> pool::DecodePool {
    let mut engines = pool::DecodePool::default();
    engines.set_engines(decode_members(ids).iter(), &engine_spec(capacity));
    engines
}

fn memory(tokens: u64) -> pool::MemoryForecast {
    pool::MemoryForecast::constant(tokens)
}

fn pick(engines: &pool::DecodePool, tokens: u64, now: time::Instant) -> Option<Name> {
    engines.pick(memory(tokens), "ruahine", || 0.0, now)
}

#[test]
fn window_sums_amounts_within_its_length() {
    let t = start();
    let mut window = pool::SlidingWindow::new(MS * 1_000);
    window.add(3.0, t);
    window.add(2.0, t + MS * 900);
    assert_eq!(window.sum(t + MS * 1_000), 5.0);
    assert_eq!(window.sum(t + MS * 1_300), 2.0);
    assert_eq!(window.sum(t + MS * 5_000), 0.0);
}

#[test]
fn decode_picks_engine_with_most_free_memory() {
    let t = start();
    let mut engines = decode_pool(&["a", "b"], 10_000);
    assert_eq!(pick(&engines, 4_000, t).as_deref(), Some("a"));
    engines.start_stream("a", memory(4_000), t);
    assert_eq!(pick(&engines, 4_000, t).as_deref(), Some("b"));
    engines.start_stream("b", memory(8_000), t);
    assert_eq!(pick(&engines, 4_000, t).as_deref(), Some("a"));
    engines.start_stream("a", memory(4_000), t);
    assert_eq!(pick(&engines, 4_000, t), None);
    engines.end_stream("b", memory(8_000), true);
    assert_eq!(pick(&engines, 4_000, t).as_deref(), Some("b"));
}

#[test]
fn decode_backs_off_longer_after_each_refusal() {
    let t = start();
    let mut engines = decode_pool(&["a"], 10_000);
    engines.record_refusal("a", t);
    assert_eq!(pick(&engines, 1, t + MS * 59), None);
    assert!(pick(&engines, 1, t + MS * 60).is_some());
    engines.record_refusal("a", t);
    assert_eq!(pick(&engines, 1, t + MS * 119), None);
    // A stream that never ran there frees no memory; one that ran does.
    engines.start_stream("a", memory(100), t);
    engines.end_stream("a", memory(100), false);
    assert_eq!(pick(&engines, 1, t + MS * 119), None);
    engines.start_stream("a", memory(100), t);
    engines.end_stream("a", memory(100), true);
    assert!(pick(&engines, 1, t).is_some());
}

#[test]
fn decode_tests_failed_engine_with_one_stream() {
    let t = start();
    let mut engines = decode_pool(&["a"], 10_000);
    engines.record_failure("a", t);
    let later = t + MS * 800;
    assert!(pick(&engines, 1, later).is_some());
    engines.start_stream("a", memory(1), later);
    assert_eq!(pick(&engines, 1, later), None);
    engines.record_success("a");
    assert!(pick(&engines, 1, later).is_some());
}

#[test]
fn decode_counts_peer_load_until_it_expires() {
    let t = start();
    let mut engines = decode_pool(&["a"], 10_000);
    let load = pool::EngineLoad {
        memory: memory(9_000),
        streams: 2,
        paused: 0,
    };
    let loads = collections::BTreeMap::from([(Name::from("a"), load)]);
    engines.update_peer(&Name::from("peer"), loads, t);
    assert_eq!(pick(&engines, 2_000, t + MS * 1_900), None);
    assert!(pick(&engines, 2_000, t + MS * 2_000).is_some());
}

#[test]
fn decode_skips_removed_and_prefill_engines() {
    let t = start();
    let mut engines = decode_pool(&["a", "b"], 10_000);
    engines.start_stream("a", memory(100), t);
    engines.set_engines(decode_members(&["b"]).iter(), &engine_spec(10_000));
    assert_eq!(pick(&engines, 1, t).as_deref(), Some("b"));
    engines.set_engines(prefill_members(&["b"]).iter(), &engine_spec(10_000));
    assert_eq!(pick(&engines, 1, t), None);
}

#[test]
fn prefill_picks_engine_that_finishes_first() {
    let t = start();
    let mut engines = pool::PrefillPool::default();
    engines.set_engines(prefill_members(&["a", "b"]).iter());
    engines.record_prefill("a", 4_000, MS * 215);
    engines.record_prefill("b", 4_000, MS * 115);
    let (engine, time) = engines.pick(4_000, None, t).expect("an engine is usable");
    assert_eq!((&*engine, time), ("b", MS * 115));
    engines.start_prompt("b", 8_000, t);
    assert_eq!(
        engines.pick(4_000, None, t).map(|p| p.0).as_deref(),
        Some("a")
    );
    engines.end_prompt("b", 8_000);
    assert_eq!(
        engines.pick(4_000, None, t).map(|p| p.0).as_deref(),
        Some("b")
    );
}

#[test]
fn prefill_uses_other_engines_only_when_clearly_faster() {
    let t = start();
    let mut engines = pool::PrefillPool::default();
    engines.set_engines(prefill_members(&["a", "b", "c", "d"]).iter());
    engines.assign_preferred(1, 2);
    let pick = |engines: &pool::PrefillPool| engines.pick(2_500, None, t).map(|p| p.0);
    assert_eq!(pick(&engines).as_deref(), Some("b"));
    engines.start_prompt("b", 2_000, t);
    assert_eq!(pick(&engines).as_deref(), Some("d"));
    engines.start_prompt("d", 2_000, t);
    assert_eq!(pick(&engines).as_deref(), Some("b"));
    engines.start_prompt("b", 9_000, t);
    engines.start_prompt("d", 9_000, t);
    assert_eq!(pick(&engines).as_deref(), Some("a"));
}

#[parameterized(
    more_engines = { 4, 3 },
    equal_numbers = { 3, 3 },
    fewer_engines = { 2, 5 },
    one_engine = { 1, 4 },
)]
fn prefill_engines_are_divided_among_entries(engines: usize, entries: usize) {
    let t = start();
    let names = ["a", "b", "c", "d"];
    let mut used = collections::BTreeSet::new();
    for entry in 0..entries {
        let mut pool = pool::PrefillPool::default();
        pool.set_engines(prefill_members(&names[..engines]).iter());
        pool.assign_preferred(entry, entries);
        used.extend(pool.pick(100, None, t).map(|p| p.0));
    }
    assert_eq!(used.len(), engines.min(entries));
}

#[test]
fn prefill_speed_rises_fast_and_falls_slowly() {
    let mut engines = pool::PrefillPool::default();
    engines.set_engines(prefill_members(&["a"]).iter());
    engines.record_prefill("a", 2_000, MS * 115);
    assert_eq!(engines.speeds()["a"].round(), 20_000.0);
    // A slower measurement weighs little: other prompts may have run as well.
    engines.record_prefill("a", 2_000, MS * 1_015);
    assert!(engines.speeds()["a"] > 19_000.0);
    // A tiny prompt that finished at once is no proof of a high speed.
    engines.record_prefill("a", 10, MS);
    assert!(engines.speeds()["a"] < 20_000.0);
}

#[test]
fn prefill_tests_failed_engine_with_one_prompt() {
    let t = start();
    let mut engines = pool::PrefillPool::default();
    engines.set_engines(prefill_members(&["a"]).iter());
    engines.record_failure("a", t);
    assert!(engines.pick(1, None, t + MS * 499).is_none());
    let later = t + MS * 500;
    assert!(engines.pick(1, None, later).is_some());
    engines.start_prompt("a", 1, later);
    assert!(engines.pick(1, None, later).is_none());
    engines.record_prefill("a", 1, MS * 20);
    assert!(engines.pick(1, None, later).is_some());
}

fn queued_stream(t: time::Instant, queued_ms: u32, is_retry: bool) -> pool::QueuedStream {
    let queued_at = t + MS * queued_ms;
    pool::QueuedStream {
        memory: memory(1_000),
        due: queued_at + MS * 900,
        caller_deadline: queued_at + MS * 3_600,
        is_retry,
        is_suspect: false,
        is_urgent: false,
        priority: 1,
        queued_at,
    }
}

fn queue_order(queue: &pool::WaitQueue, now: time::Instant) -> Vec<u64> {
    queue.ordered(now).iter().map(|(t, _)| t.0).collect()
}

#[test]
fn queue_serves_on_time_streams_before_late_ones() {
    let t = start();
    let mut queue = pool::WaitQueue::default();
    queue.insert(pool::Ticket(1), queued_stream(t, 0, false));
    queue.insert(pool::Ticket(2), queued_stream(t, 300, false));
    queue.insert(pool::Ticket(3), queued_stream(t, 400, false));
    assert_eq!(queue_order(&queue, t + MS * 500), [1, 2, 3]);
    assert_eq!(queue_order(&queue, t + MS * 700), [2, 3, 1]);
}

#[test]
fn queue_serves_retries_before_other_late_streams() {
    let t = start();
    let mut queue = pool::WaitQueue::default();
    queue.insert(pool::Ticket(1), queued_stream(t, 0, false));
    queue.insert(pool::Ticket(2), queued_stream(t, 10, true));
    assert_eq!(queue_order(&queue, t + MS * 800), [2, 1]);
}

#[parameterized(
    new_request_in_time = { false, 1_100, false },
    new_request_too_late = { false, 1_200, true },
    retry_kept = { true, 3_300, false },
    retry_caller_gave_up = { true, 3_400, true },
)]
fn queue_expires_streams(is_retry: bool, after_ms: u32, expired: bool) {
    let t = start();
    let mut queue = pool::WaitQueue::default();
    queue.insert(pool::Ticket(1), queued_stream(t, 0, is_retry));
    assert_eq!(!queue.expired(t + MS * after_ms).is_empty(), expired);
}

#[test]
fn queue_limits_overtaking_of_large_streams() {
    let t = start();
    let stream = queued_stream(t, 0, false);
    assert!(stream.allows_overtaking(t + MS * 299));
    assert!(!stream.allows_overtaking(t + MS * 300));
    // Once it is late, smaller streams may overtake it again.
    assert!(stream.allows_overtaking(t + MS * 700));
}

#[test]
fn refusals_are_recognised_once_and_retries_spread_out() {
    let t = start();
    let mut refusals = pool::RecentRefusals::new();
    let max_delay = MS * 4_000;
    let first = refusals.record_refusal(1, max_delay, t);
    let second = refusals.record_refusal(2, max_delay, t);
    assert!(first >= MS * 1_800 && second > first && second < max_delay);
    assert!(refusals.take_refusal(1, t + first));
    assert!(!refusals.take_refusal(1, t + first));
    assert!(!refusals.take_refusal(2, t + MS * 15_000));
    assert!(!refusals.take_refusal(3, t));
    assert!(refusals.record_refusal(4, MS * 500, t) <= MS * 500);
}

#[test]
fn retry_budget_limits_retries_by_ratio_and_slack() {
    let t = start();
    let service = Name::from("app");
    let mut budget = pool::RetryBudget::new(0.2, 56.0, MS * 10_000);
    for _ in 0..100 {
        budget.record_request(&service, t);
    }
    // The limit is 0.7 x (0.2 x 100 + 56 / 4) = 23.8.
    let taken = (0..100).filter(|_| budget.try_take(&service, 4, t)).count();
    assert_eq!(taken, 23);
    assert!(!budget.try_take(&service, 4, t + MS * 9_000));
    assert!(budget.try_take(&service, 4, t + MS * 10_300));
}

#[test]
fn host_list_excludes_draining_and_missing_hosts() {
    let t = start();
    let mut list = pool::HostList::default();
    list.update(decode_members(&["a", "b"]), revision(5), t);
    let mut next = decode_members(&["a"]);
    next[0].state = seam::MemberState::Draining;
    let removed = list.update(next, revision(6), t + MS * 600);
    assert_eq!(removed.len(), 1);
    assert_eq!(list.ready("llm").count(), 0);
    // A list of an older revision, as a peer may send, is ignored.
    list.update(decode_members(&["a", "b"]), revision(5), t + MS * 700);
    assert_eq!(list.ready("llm").count(), 0);
}

#[test]
fn host_list_keeps_missing_hosts_briefly_after_outage() {
    let t = start();
    let mut list = pool::HostList::default();
    list.update(decode_members(&["a", "b"]), revision(5), t);
    let recovered = t + MS * 6_000;
    list.update(Vec::new(), revision(9), recovered);
    assert_eq!(list.ready("llm").count(), 2);
    list.update(decode_members(&["a"]), revision(10), recovered + MS * 700);
    assert_eq!(list.ready("llm").count(), 2);
    list.update(decode_members(&["a"]), revision(11), recovered + MS * 2_000);
    assert_eq!(list.ready("llm").count(), 1);
}

#[test]
fn host_list_reports_restart_under_the_same_id() {
    let t = start();
    let mut list = pool::HostList::default();
    list.update(decode_members(&["a"]), revision(5), t);
    let mut next = decode_members(&["a"]);
    next[0].started_ms = 2;
    assert_eq!(list.update(next, revision(6), t + MS * 600).len(), 1);
    assert_eq!(list.ready("llm").count(), 1);
}

fn role_candidates(prefill_count: usize, count: usize) -> Vec<pool::RoleCandidate> {
    (0..count)
        .map(|i| pool::RoleCandidate {
            id: Name::from(format!("e{i}")),
            role: match i < prefill_count {
                true => seam::Role::Prefill,
                false => seam::Role::Decode,
            },
            load: 10,
            speed: Some(20_000.0 + i as f64),
            accepts_calls: true,
        })
        .collect()
}

/// Calls `decide` every 400 ms for `duration_ms` milliseconds, as the lease holder
/// does, and returns the first order.
fn decide_for(
    balancer: &mut pool::RoleBalancer,
    engines: &[pool::RoleCandidate],
    load: (f64, f64),
    t: time::Instant,
    duration_ms: u32,
) -> Option<pool::RoleChange> {
    let mut times = (0..duration_ms).step_by(400);
    times.find_map(|ms| balancer.decide(engines, load.0, load.1, t + MS * ms))
}

#[parameterized(
    long_answers = { 4, (1.0, 4.0), Some(("e0", seam::Role::Decode)) },
    long_prompts = { 2, (4.0, 2.0), Some(("e8", seam::Role::Prefill)) },
    load_as_divided = { 2, (1.2, 3.6), None },
    no_load = { 2, (0.0, 0.0), None },
)]
fn roles_follow_load(prefill_count: usize, load: (f64, f64), expected: Option<(&str, seam::Role)>) {
    let mut balancer = pool::RoleBalancer::new();
    let change = decide_for(
        &mut balancer,
        &role_candidates(prefill_count, 9),
        load,
        start(),
        4_000,
    );
    let change = change.as_ref().map(|c| (&*c.id, c.role));
    assert_eq!(change, expected);
}

#[test]
fn roles_ignore_short_load_changes() {
    let t = start();
    let mut balancer = pool::RoleBalancer::new();
    let engines = role_candidates(4, 9);
    assert_eq!(
        decide_for(&mut balancer, &engines, (1.0, 4.0), t, 1_200),
        None
    );
    assert_eq!(balancer.decide(&engines, 3.0, 3.0, t + MS * 1_300), None);
    assert_eq!(balancer.decide(&engines, 1.0, 4.0, t + MS * 1_600), None);
}

#[test]
fn roles_replace_crashed_prefill_engines_immediately() {
    let t = start();
    let mut balancer = pool::RoleBalancer::new();
    balancer.record_order(t);
    let change = balancer.decide(&role_candidates(0, 5), 1.0, 3.0, t + MS * 100);
    assert_eq!(change.map(|c| c.role), Some(seam::Role::Prefill));
}

#[test]
fn roles_change_only_after_the_order_interval() {
    let t = start();
    let mut balancer = pool::RoleBalancer::new();
    let first = decide_for(&mut balancer, &role_candidates(4, 9), (1.0, 4.0), t, 4_000);
    assert!(first.is_some());
    balancer.record_order(t + MS * 1_600);
    let after_order = t + MS * 1_600;
    assert_eq!(
        decide_for(
            &mut balancer,
            &role_candidates(4, 9),
            (1.0, 4.0),
            after_order,
            2_400
        ),
        None
    );
}

#[test]
fn roles_keep_prefill_engines_until_all_speeds_are_known() {
    let mut balancer = pool::RoleBalancer::new();
    let mut all = role_candidates(4, 9);
    all[2].speed = None;
    assert_eq!(
        decide_for(&mut balancer, &all, (1.0, 4.0), start(), 8_000),
        None
    );
}

#[test]
fn order_lease_waits_for_predecessor_to_expire() {
    let t = start();
    let ttl = MS * 3_000;
    let mut lease = pool::OrderLease::new(ttl);
    assert_eq!(lease.next_step(t), pool::LeaseStep::Read);
    lease.record_read(false, t);
    assert_eq!(lease.next_step(t), pool::LeaseStep::Idle);
    lease.record_read(true, t + MS * 1_000);
    assert_eq!(lease.next_step(t + MS * 1_000), pool::LeaseStep::Claim);
    lease.record_claim(LEASE, revision(41), t + MS * 1_000, t + MS * 1_010);
    assert_eq!(lease.fence(MS * 300, t + MS * 1_100), None);
    lease.record_renewal(t + MS * 3_900);
    assert_eq!(lease.fence(MS * 300, t + MS * 4_009), None);
    assert_eq!(lease.fence(MS * 300, t + MS * 4_010), Some(revision(41)));
}

#[test]
fn order_lease_expires_by_own_clock() {
    let t = start();
    let mut lease = pool::OrderLease::new(MS * 3_000);
    lease.record_claim(LEASE, revision(41), t, t);
    lease.record_renewal(t + MS * 3_000);
    let now = t + MS * 3_100;
    assert_eq!(lease.fence(MS * 300, now), Some(revision(41)));
    assert_eq!(lease.next_step(now), pool::LeaseStep::Idle);
    assert_eq!(lease.next_step(t + MS * 4_000), pool::LeaseStep::Renew);
    // After a pause of this entry, the last renewal is too old to give orders.
    assert_eq!(lease.fence(MS * 300, t + MS * 4_300), None);
    assert!(lease.is_expired(t + MS * 6_000));
    lease.record_loss(t + MS * 6_000);
    assert_eq!(lease.lease(), None);
    assert_eq!(lease.next_step(t + MS * 7_000), pool::LeaseStep::Read);
}

#[test]
fn demand_counts_arriving_requests() {
    let t = start();
    let mut demand = pool::Demand::new();
    for i in 0..16 {
        demand.record_request(3_000, t + MS * 500 * i);
    }
    let rate = demand.rate(t + MS * 8_000);
    assert_eq!(rate.prompt, 6_000.0);
    let before = rate.stream;
    for _ in 0..200 {
        demand.record_stream(4_000, MS * 1_000);
    }
    assert!(demand.rate(t + MS * 8_000).stream < before);
}

fn balancer(ids: &[&str]) -> pool::HostBalancer {
    let members: Vec<_> = ids.iter().map(|id| member(id, None)).collect();
    let mut balancer = pool::HostBalancer::default();
    balancer.set_hosts(members.iter());
    balancer
}

#[test]
fn hosts_with_fewest_calls_are_picked() {
    let t = start();
    let mut balancer = balancer(&["a", "b"]);
    balancer.start_call("a");
    assert_eq!(balancer.pick("ruahine", &[], t).as_deref(), Some("b"));
    let calls = collections::BTreeMap::from([(Name::from("b"), 3)]);
    balancer.update_peer(&Name::from("peer"), calls, t);
    assert_eq!(balancer.pick("ruahine", &[], t).as_deref(), Some("a"));
    assert_eq!(
        balancer.pick("ruahine", &[Name::from("a")], t).as_deref(),
        Some("b")
    );
}

#[test]
fn hosts_that_fail_often_are_avoided() {
    let t = start();
    let mut balancer = balancer(&["a", "b"]);
    for _ in 0..20 {
        balancer.record_response("a", true);
        balancer.record_response("b", false);
    }
    assert_eq!(balancer.pick("ruahine", &[], t).as_deref(), Some("b"));
}

#[test]
fn hosts_in_backoff_are_used_if_no_other_is_left() {
    let t = start();
    let mut balancer = balancer(&["a", "b"]);
    balancer.record_failure("a", t);
    assert_eq!(balancer.pick("ruahine", &[], t).as_deref(), Some("b"));
    balancer.record_failure("b", t);
    assert!(balancer.pick("ruahine", &[], t).is_some());
    assert_eq!(
        balancer.pick("ruahine", &[], t + MS * 500).as_deref(),
        Some("a")
    );
}

#[parameterized(
    first_reader = { 0, 0, true },
    last_reader = { 5, 0, true },
    other_entry_with_recent_list = { 6, 1_299, false },
    other_entry_with_old_list = { 6, 1_300, true },
    entry_without_list = { 300, u32::MAX, true },
)]
fn member_list_is_read_from_store(index: usize, age_ms: u32, expected: bool) {
    let position = pool::Position::among_all(index, 350);
    assert_eq!(pool::reads_member_list(position, MS * age_ms), expected);
}

#[parameterized(
    first_reader_shares_soon = { 0, 500, true },
    second_reader_waits = { 1, 500, false },
    second_reader_shares_later = { 1, 650, true },
    others_wait = { 9, 1_299, false },
    others_share_old_list = { 9, 1_300, true },
)]
fn member_list_is_shared_with_peer(index: usize, age_ms: u32, expected: bool) {
    let position = pool::Position::among_all(index, 350);
    for same_zone in [true, false] {
        let shares = pool::shares_member_list(position, same_zone, MS * age_ms);
        assert_eq!(shares, expected);
    }
}

fn failure_report(ids: &[(&str, u64)]) -> collections::BTreeMap<Name, u64> {
    let hosts = ids
        .iter()
        .map(|(id, remaining_ms)| (Name::from(*id), *remaining_ms));
    hosts.collect()
}

/// Returns a tracker that knows four hosts.
fn failures() -> pool::HostFailures {
    let mut failures = pool::HostFailures::new(MS * 500);
    failures.set_hosts(["a", "b", "c", "d"].map(Name::from).iter());
    failures
}

/// Returns a tracker of the same hosts, where this number of peers reported that
/// host `a` failed.
fn failures_reported_by(reports: u32, t: time::Instant) -> pool::HostFailures {
    let mut failures = failures();
    for peer in 0..reports {
        let peer = Name::from(format!("peer-{peer}"));
        failures.update_peer(&peer, &failure_report(&[("a", 500)]), t);
    }
    failures
}

#[parameterized(
    no_report = { 0, false },
    one_report_is_ignored = { 1, false },
    two_reports_are_trusted = { 2, true },
)]
fn failures_need_reports_of_two_peers(reports: u32, expected: bool) {
    let t = start();
    assert_eq!(
        failures_reported_by(reports, t).is_backed_off("a", t),
        expected
    );
    assert!(!failures_reported_by(reports, t).is_backed_off("b", t));
}

#[test]
fn reported_failures_last_longer_than_at_the_peer() {
    let t = start();
    let failures = failures_reported_by(2, t);
    assert!(failures.is_backed_off("a", t + MS * 899));
    assert!(!failures.is_backed_off("a", t + MS * 900));
}

#[test]
fn failures_end_when_a_peer_withdraws_its_report() {
    let t = start();
    let mut failures = failures_reported_by(2, t);
    failures.update_peer(&Name::from("peer-1"), &failure_report(&[]), t + MS * 250);
    assert!(!failures.is_backed_off("a", t + MS * 250));
}

#[test]
fn reports_of_failures_at_most_hosts_are_ignored() {
    let t = start();
    let mut failures = failures_reported_by(1, t);
    let most_hosts = failure_report(&[("a", 500), ("b", 500), ("c", 500)]);
    failures.update_peer(&Name::from("cut-off"), &most_hosts, t);
    assert!(!failures.is_backed_off("a", t));
}

#[test]
fn failures_are_reported_during_backoff() {
    let t = start();
    let mut failures = failures();
    failures.record_failure("a", t);
    assert_eq!(
        failures.own_failures(t + MS * 100),
        failure_report(&[("a", 400)])
    );
    assert!(failures.own_failures(t + MS * 500).is_empty());
    failures.record_attempt("a", t + MS * 500);
    assert_eq!(
        failures.own_failures(t + MS * 500),
        failure_report(&[("a", 500)])
    );
    failures.record_success("a");
    assert!(failures.own_failures(t + MS * 500).is_empty());
}

#[test]
fn prefill_avoids_engines_that_peers_saw_fail() {
    let t = start();
    let mut engines = pool::PrefillPool::default();
    engines.set_engines(prefill_members(&["a", "b"]).iter());
    for peer in ["x", "y"] {
        engines
            .failures
            .update_peer(&Name::from(peer), &failure_report(&[("a", 500)]), t);
    }
    for _ in 0..3 {
        let (engine, _) = engines.pick(1_000, None, t).expect("an engine is usable");
        assert_eq!(&*engine, "b");
        engines.start_prompt(&engine, 1_000, t);
    }
}

#[parameterized(
    reader = { 0, 30, 1_500 },
    last_reader = { 5, 30, 1_500 },
    other_entry = { 6, 30, 6_000 },
    single_entry = { 9, 1, 1_500 },
)]
fn entries_are_discovered_at_interval(index: usize, count: usize, interval_ms: u32) {
    let position = pool::Position::among_all(index, count);
    assert_eq!(pool::discovery_interval(position), MS * interval_ms);
}

#[parameterized(
    same_revision_newer = { 5, 200, true, 800 },
    same_revision_older = { 5, 1_200, false, 0 },
    other_revision = { 6, 200, false, 0 },
)]
fn host_list_is_confirmed_by_peer(number: u64, age_ms: u32, expected: bool, read_ms: u32) {
    let t = start();
    let mut list = pool::HostList::default();
    list.update(Vec::new(), revision(5), t);
    assert_eq!(
        list.confirm(revision(number), MS * age_ms, t + MS * 1_000),
        expected
    );
    assert_eq!(list.read_at(), Some(t + MS * read_ms));
}

#[test]
fn newer_config_is_requested_from_one_peer_after_store_timeout() {
    let t = start();
    let mut fetch = pool::ConfigFetch::default();
    assert!((0..31).all(|_| !fetch.record_newer(false, t)));
    assert!(!fetch.record_newer(false, t + MS * 499));
    let requests = (0..31).filter(|_| fetch.record_newer(false, t + MS * 500));
    assert_eq!(requests.count(), 1);
    fetch.finish_request();
    assert!(fetch.record_newer(false, t + MS * 750));
    fetch.finish_request();
    fetch.record_applied();
    assert!(!fetch.record_newer(false, t + MS * 760));
}

#[test]
fn first_config_is_requested_immediately() {
    let mut fetch = pool::ConfigFetch::default();
    assert!(fetch.record_newer(true, start()));
    assert!(!fetch.record_newer(true, start()));
}
