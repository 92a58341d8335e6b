//! The decisions of an entry without agents, on an injected clock.

use std::collections;
use std::time;
use world::Name;
use yare::parameterized;

const MS: time::Duration = time::Duration::from_millis(1);

/// A clock that tests move by hand.
fn start() -> time::Instant {
    time::Instant::now()
}

fn facts(capacity: u64) -> seam::EngineSpec {
    seam::EngineSpec {
        slots: 64,
        capacity_tokens: capacity,
        handle_ttl: MS * 500,
        max_hold: MS * 2_000,
        switch_time: MS * 6_000,
    }
}

fn member(id: &str, part: Option<seam::Role>) -> seam::Member {
    let port = 9_000 + id.bytes().map(u16::from).sum::<u16>();
    seam::Member {
        id: Name::from(id),
        service: Name::from("llm"),
        address: format!("10.0.0.1:{port}").parse().expect("an address"),
        zone: Name::from("ruahine"),
        slots: 6,
        state: seam::MemberState::Ready,
        role: part,
        started_ms: 1,
    }
}

fn decode(ids: &[&str]) -> Vec<seam::Member> {
    let part = Some(seam::Role::Decode);
    ids.iter().map(|id| member(id, part)).collect()
}

fn prefill(ids: &[&str]) -> Vec<seam::Member> {
    let part = Some(seam::Role::Prefill);
    ids.iter().map(|id| member(id, part)).collect()
}

fn seats(ids: &[&str], capacity: u64) -> pool::DecodePool {
    let mut seats = pool::DecodePool::default();
    seats.set_engines(decode(ids).iter(), &facts(capacity));
    seats
}

fn pick(seats: &pool::DecodePool, need: u64, now: time::Instant) -> Option<Name> {
    seats.pick(need, "ruahine", || 0.0, now)
}

#[test]
fn window_counts_until_its_span_is_over() {
    let t = start();
    let mut window = pool::SlidingWindow::new(MS * 1_000);
    window.add(3.0, t);
    window.add(2.0, t + MS * 900);
    assert_eq!(window.sum(t + MS * 1_000), 5.0);
    assert_eq!(window.sum(t + MS * 1_300), 2.0);
    assert_eq!(window.sum(t + MS * 5_000), 0.0);
}

#[test]
fn seats_go_where_most_room_is() {
    let t = start();
    let mut seats = seats(&["a", "b"], 10_000);
    assert_eq!(pick(&seats, 4_000, t).as_deref(), Some("a"));
    seats.start_stream("a", 4_000, t);
    assert_eq!(pick(&seats, 4_000, t).as_deref(), Some("b"));
    seats.start_stream("b", 8_000, t);
    assert_eq!(pick(&seats, 4_000, t).as_deref(), Some("a"));
    seats.start_stream("a", 4_000, t);
    assert_eq!(pick(&seats, 4_000, t), None);
    seats.end_stream("b", 8_000, true);
    assert_eq!(pick(&seats, 4_000, t).as_deref(), Some("b"));
}

#[test]
fn seats_that_were_refused_rest_longer_each_time() {
    let t = start();
    let mut seats = seats(&["a"], 10_000);
    seats.record_refusal("a", t);
    assert_eq!(pick(&seats, 1, t + MS * 59), None);
    assert!(pick(&seats, 1, t + MS * 60).is_some());
    seats.record_refusal("a", t);
    assert_eq!(pick(&seats, 1, t + MS * 119), None);
    // A stream that was only meant for it frees nothing; one that ran does.
    seats.start_stream("a", 100, t);
    seats.end_stream("a", 100, false);
    assert_eq!(pick(&seats, 1, t + MS * 119), None);
    seats.start_stream("a", 100, t);
    seats.end_stream("a", 100, true);
    assert!(pick(&seats, 1, t).is_some());
}

#[test]
fn seats_failed_engine_shows_itself_by_one_stream() {
    let t = start();
    let mut seats = seats(&["a"], 10_000);
    seats.record_failure("a", t);
    let later = t + MS * 800;
    assert!(pick(&seats, 1, later).is_some());
    seats.start_stream("a", 1, later);
    assert_eq!(pick(&seats, 1, later), None);
    seats.record_success("a");
    assert!(pick(&seats, 1, later).is_some());
}

#[test]
fn seats_of_peers_count_until_they_are_silent() {
    let t = start();
    let mut seats = seats(&["a"], 10_000);
    let load = pool::EngineLoad {
        tokens: 9_000,
        streams: 2,
    };
    let loads = collections::BTreeMap::from([(Name::from("a"), load)]);
    seats.update_peer(&Name::from("peer"), loads, t);
    assert_eq!(pick(&seats, 2_000, t + MS * 1_900), None);
    assert!(pick(&seats, 2_000, t + MS * 2_000).is_some());
}

#[test]
fn seats_of_engines_that_left_are_none() {
    let t = start();
    let mut seats = seats(&["a", "b"], 10_000);
    seats.start_stream("a", 100, t);
    seats.set_engines(decode(&["b"]).iter(), &facts(10_000));
    assert_eq!(pick(&seats, 1, t).as_deref(), Some("b"));
    seats.set_engines(prefill(&["b"]).iter(), &facts(10_000));
    assert_eq!(pick(&seats, 1, t), None);
}

#[test]
fn lanes_prefer_the_sooner_engine() {
    let t = start();
    let mut lanes = pool::PrefillPool::default();
    lanes.set_engines(prefill(&["a", "b"]).iter());
    lanes.record_prefill("a", 4_000, MS * 215);
    lanes.record_prefill("b", 4_000, MS * 115);
    let (engine, time) = lanes.pick(4_000, None, t).expect("one is there");
    assert_eq!((&*engine, time), ("b", MS * 115));
    lanes.start_prompt("b", 8_000, t);
    assert_eq!(
        lanes.pick(4_000, None, t).map(|p| p.0).as_deref(),
        Some("a")
    );
    lanes.end_prompt("b", 8_000);
    assert_eq!(
        lanes.pick(4_000, None, t).map(|p| p.0).as_deref(),
        Some("b")
    );
}

#[test]
fn lanes_of_an_entry_are_left_only_when_clearly_behind() {
    let t = start();
    let mut lanes = pool::PrefillPool::default();
    lanes.set_engines(prefill(&["a", "b", "c", "d"]).iter());
    lanes.assign_preferred(1, 2);
    let pick = |lanes: &pool::PrefillPool| lanes.pick(2_500, None, t).map(|p| p.0);
    assert_eq!(pick(&lanes).as_deref(), Some("b"));
    lanes.start_prompt("b", 2_000, t);
    assert_eq!(pick(&lanes).as_deref(), Some("d"));
    lanes.start_prompt("d", 2_000, t);
    assert_eq!(pick(&lanes).as_deref(), Some("b"));
    lanes.start_prompt("b", 9_000, t);
    lanes.start_prompt("d", 9_000, t);
    assert_eq!(pick(&lanes).as_deref(), Some("a"));
}

#[parameterized(
    more_engines = { 4, 3 },
    as_many = { 3, 3 },
    fewer_engines = { 2, 5 },
    one_engine = { 1, 4 },
)]
fn lanes_every_entry_has_some(engines: usize, entries: usize) {
    let t = start();
    let names = ["a", "b", "c", "d"];
    let mut used = collections::BTreeSet::new();
    for entry in 0..entries {
        let mut lanes = pool::PrefillPool::default();
        lanes.set_engines(prefill(&names[..engines]).iter());
        lanes.assign_preferred(entry, entries);
        used.extend(lanes.pick(100, None, t).map(|p| p.0));
    }
    assert_eq!(used.len(), engines.min(entries));
}

#[test]
fn lanes_speed_rises_fast_and_falls_slowly() {
    let mut lanes = pool::PrefillPool::default();
    lanes.set_engines(prefill(&["a"]).iter());
    lanes.record_prefill("a", 2_000, MS * 115);
    assert_eq!(lanes.speeds()["a"].round(), 20_000.0);
    // Others were read meanwhile: that says little.
    lanes.record_prefill("a", 2_000, MS * 1_015);
    assert!(lanes.speeds()["a"] > 19_000.0);
    // A tiny prompt that came back at once proves no wonder.
    lanes.record_prefill("a", 10, MS);
    assert!(lanes.speeds()["a"] < 20_000.0);
}

#[test]
fn lanes_failed_engine_gets_one_prompt() {
    let t = start();
    let mut lanes = pool::PrefillPool::default();
    lanes.set_engines(prefill(&["a"]).iter());
    lanes.record_failure("a", t);
    assert!(lanes.pick(1, None, t + MS * 499).is_none());
    let later = t + MS * 500;
    assert!(lanes.pick(1, None, later).is_some());
    lanes.start_prompt("a", 1, later);
    assert!(lanes.pick(1, None, later).is_none());
    lanes.record_prefill("a", 1, MS * 20);
    assert!(lanes.pick(1, None, later).is_some());
}

fn queued(t: time::Instant, queued_at: u32, is_retry: bool) -> pool::QueuedStream {
    let queued_at = t + MS * queued_at;
    pool::QueuedStream {
        tokens: 1_000,
        due: queued_at + MS * 900,
        caller_deadline: queued_at + MS * 3_600,
        is_retry,
        priority: 1,
        queued_at,
    }
}

fn order(line: &pool::WaitQueue, now: time::Instant) -> Vec<u64> {
    line.ordered(now).iter().map(|(t, _)| t.0).collect()
}

#[test]
fn line_on_time_work_goes_before_late_work() {
    let t = start();
    let mut line = pool::WaitQueue::default();
    line.insert(pool::Ticket(1), queued(t, 0, false));
    line.insert(pool::Ticket(2), queued(t, 300, false));
    line.insert(pool::Ticket(3), queued(t, 400, false));
    assert_eq!(order(&line, t + MS * 500), [1, 2, 3]);
    assert_eq!(order(&line, t + MS * 700), [2, 3, 1]);
}

#[test]
fn line_who_came_back_goes_before_other_late_work() {
    let t = start();
    let mut line = pool::WaitQueue::default();
    line.insert(pool::Ticket(1), queued(t, 0, false));
    line.insert(pool::Ticket(2), queued(t, 10, true));
    assert_eq!(order(&line, t + MS * 800), [2, 1]);
}

#[parameterized(
    fresh_in_time = { false, 1_100, false },
    fresh_too_late = { false, 1_200, true },
    back_still_kept = { true, 3_300, false },
    back_caller_leaves = { true, 3_400, true },
)]
fn line_refuses(back: bool, after: u32, refused: bool) {
    let t = start();
    let mut line = pool::WaitQueue::default();
    line.insert(pool::Ticket(1), queued(t, 0, back));
    assert_eq!(!line.expired(t + MS * after).is_empty(), refused);
}

#[test]
fn line_large_work_is_passed_for_a_while_only() {
    let t = start();
    let waiting = queued(t, 0, false);
    assert!(waiting.allows_overtaking(t + MS * 299));
    assert!(!waiting.allows_overtaking(t + MS * 300));
    // Once it is late anyway, it holds nobody up.
    assert!(waiting.allows_overtaking(t + MS * 700));
}

#[test]
fn returns_are_known_once_and_spread() {
    let t = start();
    let mut returns = pool::RecentRefusals::new();
    let most = MS * 4_000;
    let first = returns.record_refusal(1, most, t);
    let second = returns.record_refusal(2, most, t);
    assert!(first >= MS * 1_800 && second > first && second < most);
    assert!(returns.take_refusal(1, t + first));
    assert!(!returns.take_refusal(1, t + first));
    assert!(!returns.take_refusal(2, t + MS * 15_000));
    assert!(!returns.take_refusal(3, t));
    assert!(returns.record_refusal(4, MS * 500, t) <= MS * 500);
}

fn tenant(rate: f64, burst: f64) -> seam::Tenant {
    seam::Tenant {
        name: Name::from("rangers"),
        keys: collections::BTreeSet::new(),
        priority: None,
        rate: Some(rate),
        burst,
        default_units: Some(200),
    }
}

#[test]
fn allowance_excess_waits_for_the_rate() {
    let t = start();
    let mut allowance = pool::RateLimiter::new(MS * 8_000);
    let tenant = tenant(100.0, 200.0);
    assert_eq!(allowance.charge(&tenant, 1_000.0, t), Ok(()));
    assert_eq!(allowance.charge(&tenant, 100.0, t), Err(MS * 1_000));
    assert_eq!(allowance.charge(&tenant, 100.0, t + MS * 8_300), Ok(()));
}

#[test]
fn allowance_is_one_over_all_entries() {
    let t = start();
    let mut allowance = pool::RateLimiter::new(MS * 8_000);
    let tenant = tenant(100.0, 200.0);
    let used = collections::BTreeMap::from([(Name::from("rangers"), 900.0)]);
    allowance.update_peer(&Name::from("peer"), used, None, t);
    assert_eq!(allowance.charge(&tenant, 100.0, t), Ok(()));
    assert!(allowance.charge(&tenant, 100.0, t).is_err());
}

#[test]
fn allowance_silent_peer_may_use_its_part() {
    let t = start();
    let mut allowance = pool::RateLimiter::new(MS * 8_000);
    let tenant = tenant(100.0, 200.0);
    allowance.update_peer(&Name::from("peer"), collections::BTreeMap::new(), None, t);
    let later = t + MS * 2_000;
    assert!(allowance.charge(&tenant, 600.0, later).is_err());
    assert_eq!(allowance.charge(&tenant, 500.0, later), Ok(()));
    // One that has gone for good leaves the whole.
    let gone = t + MS * 30_000;
    assert_eq!(allowance.charge(&tenant, 1_000.0, gone), Ok(()));
}

#[test]
fn allowance_lowered_binds_at_once() {
    let t = start();
    let mut allowance = pool::RateLimiter::new(MS * 8_000);
    assert_eq!(allowance.charge(&tenant(100.0, 200.0), 500.0, t), Ok(()));
    assert!(allowance.charge(&tenant(10.0, 20.0), 1.0, t).is_err());
}

#[test]
fn retries_stay_below_ratio_and_slack() {
    let t = start();
    let service = Name::from("app");
    let mut retries = pool::RetryBudget::new(0.2, 56.0, MS * 10_000);
    for _ in 0..100 {
        retries.record_request(&service, t);
    }
    // 0.7 of 0.2 x 100 + 56 / 4.
    let taken = (0..100)
        .filter(|_| retries.try_take(&service, 4, t))
        .count();
    assert_eq!(taken, 23);
    assert!(!retries.try_take(&service, 4, t + MS * 9_000));
    assert!(retries.try_take(&service, 4, t + MS * 10_300));
}

#[test]
fn roster_leaving_and_missing_hosts_get_nothing() {
    let t = start();
    let mut roster = pool::HostList::default();
    roster.update(decode(&["a", "b"]), 5, t);
    let mut next = decode(&["a"]);
    next[0].state = seam::MemberState::Draining;
    let gone = roster.update(next, 6, t + MS * 600);
    assert_eq!(gone.len(), 1);
    assert_eq!(roster.ready("llm").count(), 0);
    // An older reading, as from a peer, changes nothing.
    roster.update(decode(&["a", "b"]), 5, t + MS * 700);
    assert_eq!(roster.ready("llm").count(), 0);
}

#[test]
fn roster_lapsed_hosts_may_come_back_after_an_outage() {
    let t = start();
    let mut roster = pool::HostList::default();
    roster.update(decode(&["a", "b"]), 5, t);
    let back = t + MS * 6_000;
    roster.update(Vec::new(), 9, back);
    assert_eq!(roster.ready("llm").count(), 2);
    roster.update(decode(&["a"]), 10, back + MS * 700);
    assert_eq!(roster.ready("llm").count(), 2);
    roster.update(decode(&["a"]), 11, back + MS * 2_000);
    assert_eq!(roster.ready("llm").count(), 1);
}

#[test]
fn roster_restart_under_the_same_id_is_another_life() {
    let t = start();
    let mut roster = pool::HostList::default();
    roster.update(decode(&["a"]), 5, t);
    let mut next = decode(&["a"]);
    next[0].started_ms = 2;
    assert_eq!(roster.update(next, 6, t + MS * 600).len(), 1);
    assert_eq!(roster.ready("llm").count(), 1);
}

fn engines(readers: usize, count: usize) -> Vec<pool::EngineStatus> {
    (0..count)
        .map(|i| pool::EngineStatus {
            id: Name::from(format!("e{i}")),
            role: match i < readers {
                true => seam::Role::Prefill,
                false => seam::Role::Decode,
            },
            load: 10,
            speed: Some(20_000.0 + i as f64),
        })
        .collect()
}

/// Decides again and again, as the holder does.
fn decide_for(
    balance: &mut pool::RoleBalancer,
    engines: &[pool::EngineStatus],
    load: (f64, f64),
    t: time::Instant,
    span: u32,
) -> Option<pool::RoleChange> {
    let mut at = (0..span).step_by(400);
    at.find_map(|ms| balance.decide(engines, load.0, load.1, t + MS * ms))
}

#[parameterized(
    long_answers = { 4, (1.0, 4.0), Some(("e0", seam::Role::Decode)) },
    long_prompts = { 2, (4.0, 2.0), Some(("e8", seam::Role::Prefill)) },
    as_it_should_be = { 2, (1.2, 3.6), None },
    at_rest = { 2, (0.0, 0.0), None },
)]
fn balance_follows(readers: usize, load: (f64, f64), wanted: Option<(&str, seam::Role)>) {
    let mut balance = pool::RoleBalancer::new();
    let shift = decide_for(&mut balance, &engines(readers, 9), load, start(), 4_000);
    let shift = shift.as_ref().map(|s| (&*s.id, s.role));
    assert_eq!(shift, wanted);
}

#[test]
fn balance_a_moment_of_load_moves_nobody() {
    let t = start();
    let mut balance = pool::RoleBalancer::new();
    let engines = engines(4, 9);
    assert_eq!(
        decide_for(&mut balance, &engines, (1.0, 4.0), t, 1_200),
        None
    );
    assert_eq!(balance.decide(&engines, 3.0, 3.0, t + MS * 1_300), None);
    assert_eq!(balance.decide(&engines, 1.0, 4.0, t + MS * 1_600), None);
}

#[test]
fn balance_crashed_readers_are_replaced_at_once() {
    let t = start();
    let mut balance = pool::RoleBalancer::new();
    balance.record_order(t);
    let shift = balance.decide(&engines(0, 5), 1.0, 3.0, t + MS * 100);
    assert_eq!(shift.map(|s| s.role), Some(seam::Role::Prefill));
}

#[test]
fn balance_waits_between_orders() {
    let t = start();
    let mut balance = pool::RoleBalancer::new();
    let first = decide_for(&mut balance, &engines(4, 9), (1.0, 4.0), t, 4_000);
    assert!(first.is_some());
    balance.record_order(t + MS * 1_600);
    let soon = t + MS * 1_600;
    assert_eq!(
        decide_for(&mut balance, &engines(4, 9), (1.0, 4.0), soon, 2_400),
        None
    );
}

#[test]
fn balance_sends_no_reader_away_before_speeds_are_known() {
    let mut balance = pool::RoleBalancer::new();
    let mut all = engines(4, 9);
    all[2].speed = None;
    assert_eq!(
        decide_for(&mut balance, &all, (1.0, 4.0), start(), 8_000),
        None
    );
}

#[test]
fn orders_wait_for_the_lease_of_another() {
    let t = start();
    let life = MS * 3_000;
    let mut orders = pool::OrderLease::new(life);
    assert_eq!(orders.next_step(t), pool::LeaseStep::Read);
    orders.record_read(false, t);
    assert_eq!(orders.next_step(t), pool::LeaseStep::Idle);
    orders.record_read(true, t + MS * 1_000);
    assert_eq!(orders.next_step(t + MS * 1_000), pool::LeaseStep::Claim);
    orders.record_claim(seam::LeaseId(7), 41, t + MS * 1_000, t + MS * 1_010);
    assert_eq!(orders.fencing_number(MS * 300, t + MS * 1_100), None);
    orders.record_renewal(t + MS * 3_900);
    assert_eq!(orders.fencing_number(MS * 300, t + MS * 4_009), None);
    assert_eq!(orders.fencing_number(MS * 300, t + MS * 4_010), Some(41));
}

#[test]
fn orders_end_with_the_lease_by_our_clock() {
    let t = start();
    let mut orders = pool::OrderLease::new(MS * 3_000);
    orders.record_claim(seam::LeaseId(7), 41, t, t);
    orders.record_renewal(t + MS * 3_000);
    let now = t + MS * 3_100;
    assert_eq!(orders.fencing_number(MS * 300, now), Some(41));
    assert_eq!(orders.next_step(now), pool::LeaseStep::Idle);
    assert_eq!(orders.next_step(t + MS * 4_000), pool::LeaseStep::Renew);
    // After a pause nothing is sent on a lease that was not just renewed.
    assert_eq!(orders.fencing_number(MS * 300, t + MS * 4_300), None);
    assert!(orders.is_expired(t + MS * 6_000));
    orders.record_loss(t + MS * 6_000);
    assert_eq!(orders.lease(), None);
    assert_eq!(orders.next_step(t + MS * 7_000), pool::LeaseStep::Read);
}

#[test]
fn demand_counts_what_arrives() {
    let t = start();
    let mut demand = pool::Demand::new();
    for i in 0..16 {
        demand.record_request(3_000, t + MS * 500 * i);
    }
    let asked = demand.rate(t + MS * 8_000);
    assert_eq!(asked.prompt, 6_000.0);
    let before = asked.stream;
    for _ in 0..200 {
        demand.record_stream(4_000, MS * 1_000);
    }
    assert!(demand.rate(t + MS * 8_000).stream < before);
}

fn hosts(ids: &[&str]) -> pool::HostBalancer {
    let members: Vec<_> = ids.iter().map(|id| member(id, None)).collect();
    let mut hosts = pool::HostBalancer::default();
    hosts.set_hosts(members.iter());
    hosts
}

#[test]
fn hosts_with_the_least_in_hand_come_first() {
    let t = start();
    let mut hosts = hosts(&["a", "b"]);
    hosts.start_call("a");
    assert_eq!(hosts.pick("ruahine", &[], t).as_deref(), Some("b"));
    let calls = collections::BTreeMap::from([(Name::from("b"), 3)]);
    hosts.update_peer(&Name::from("peer"), calls, t);
    assert_eq!(hosts.pick("ruahine", &[], t).as_deref(), Some("a"));
    assert_eq!(
        hosts.pick("ruahine", &[Name::from("a")], t).as_deref(),
        Some("b")
    );
}

#[test]
fn hosts_that_fail_often_come_last() {
    let t = start();
    let mut hosts = hosts(&["a", "b"]);
    for _ in 0..20 {
        hosts.record_answer("a", true);
        hosts.record_answer("b", false);
    }
    assert_eq!(hosts.pick("ruahine", &[], t).as_deref(), Some("b"));
}

#[test]
fn hosts_that_rest_are_used_where_no_other_is() {
    let t = start();
    let mut hosts = hosts(&["a", "b"]);
    hosts.record_failure("a", t);
    assert_eq!(hosts.pick("ruahine", &[], t).as_deref(), Some("b"));
    hosts.record_failure("b", t);
    assert!(hosts.pick("ruahine", &[], t).is_some());
    assert_eq!(
        hosts.pick("ruahine", &[], t + MS * 500).as_deref(),
        Some("a")
    );
}

#[parameterized(
    first_reader = { 0, 0, true },
    last_reader = { 5, 0, true },
    has_it_from_others = { 6, 1_299, false },
    has_an_old_one = { 6, 1_300, true },
    knows_none = { 300, u32::MAX, true },
)]
fn list_is_read(place: usize, age: u32, read: bool) {
    assert_eq!(pool::reads_host_list(place, MS * age), read);
}

#[parameterized(
    first_reader_soon = { 0, 500, true },
    second_reader_waits = { 1, 500, false },
    second_reader_steps_in = { 1, 650, true },
    others_wait = { 9, 1_299, false },
    others_step_in = { 9, 1_300, true },
)]
fn list_is_shared(place: usize, age: u32, shared: bool) {
    assert_eq!(pool::shares_host_list(place, MS * age), shared);
}

fn failed(ids: &[(&str, u64)]) -> collections::BTreeMap<Name, u64> {
    let named = ids.iter().map(|(id, left)| (Name::from(*id), *left));
    named.collect()
}

/// Faults of four hosts.
fn faults() -> pool::HostFailures {
    let mut faults = pool::HostFailures::new(MS * 500);
    faults.set_hosts(["a", "b", "c", "d"].map(Name::from).iter());
    faults
}

/// Faults at one of many entries: `witnesses` peers say that host `a` of four rests.
fn heard(witnesses: u32, t: time::Instant) -> pool::HostFailures {
    let mut faults = faults();
    for peer in 0..witnesses {
        let peer = Name::from(format!("peer-{peer}"));
        faults.update_peer(&peer, &failed(&[("a", 500)]), t);
    }
    faults
}

#[parameterized(
    nobody = { 0, false },
    one_may_be_cut_off_itself = { 1, false },
    two_are_believed = { 2, true },
)]
fn faults_seen_by_peers(witnesses: u32, rests: bool) {
    let t = start();
    assert_eq!(heard(witnesses, t).is_backed_off("a", t), rests);
    assert!(!heard(witnesses, t).is_backed_off("b", t));
}

#[test]
fn faults_seen_by_peers_are_tried_by_those_first() {
    let t = start();
    let faults = heard(2, t);
    assert!(faults.is_backed_off("a", t + MS * 899));
    assert!(!faults.is_backed_off("a", t + MS * 900));
}

#[test]
fn faults_end_when_witnesses_say_so() {
    let t = start();
    let mut faults = heard(2, t);
    faults.update_peer(&Name::from("peer-1"), &failed(&[]), t + MS * 250);
    assert!(!faults.is_backed_off("a", t + MS * 250));
}

#[test]
fn faults_of_most_hosts_are_the_peers_own_cut() {
    let t = start();
    let mut faults = heard(1, t);
    let most = failed(&[("a", 500), ("b", 500), ("c", 500)]);
    faults.update_peer(&Name::from("cut-off"), &most, t);
    assert!(!faults.is_backed_off("a", t));
}

#[test]
fn faults_are_told_while_a_host_rests() {
    let t = start();
    let mut faults = faults();
    faults.record_failure("a", t);
    assert_eq!(faults.own_failures(t + MS * 100), failed(&[("a", 400)]));
    assert!(faults.own_failures(t + MS * 500).is_empty());
    faults.record_attempt("a", t + MS * 500);
    assert_eq!(faults.own_failures(t + MS * 500), failed(&[("a", 500)]));
    faults.record_success("a");
    assert!(faults.own_failures(t + MS * 500).is_empty());
}

#[test]
fn lanes_of_engines_that_peers_saw_fail_get_no_prompt() {
    let t = start();
    let mut lanes = pool::PrefillPool::default();
    lanes.set_engines(prefill(&["a", "b"]).iter());
    for peer in ["x", "y"] {
        lanes
            .failures
            .update_peer(&Name::from(peer), &failed(&[("a", 500)]), t);
    }
    for _ in 0..3 {
        let (engine, _) = lanes.pick(1_000, None, t).expect("one is sound");
        assert_eq!(&*engine, "b");
        lanes.start_prompt(&engine, 1_000, t);
    }
}

#[parameterized(
    reader = { 0, 30, 1_500 },
    last_reader = { 5, 30, 1_500 },
    other = { 6, 30, 6_000 },
    one_that_knows_nobody = { 9, 1, 1_500 },
)]
fn entries_are_looked_for(place: usize, count: usize, wait: u32) {
    assert_eq!(pool::discovery_interval((place, count)), MS * wait);
}

#[parameterized(
    same_and_younger = { 5, 200, true, 800 },
    same_but_older = { 5, 1_200, false, 0 },
    another = { 6, 200, false, 0 },
)]
fn roster_is_confirmed_by_a_peer(revision: u64, age: u32, told: bool, read: u32) {
    let t = start();
    let mut roster = pool::HostList::default();
    roster.update(Vec::new(), 5, t);
    assert_eq!(roster.confirm(revision, MS * age, t + MS * 1_000), told);
    assert_eq!(roster.read_at(), Some(t + MS * read));
}

#[test]
fn newer_version_is_asked_of_one_peer_after_the_store_had_its_time() {
    let t = start();
    let mut catching = pool::ConfigFetch::default();
    assert!((0..31).all(|_| !catching.note_newer(false, t)));
    assert!(!catching.note_newer(false, t + MS * 499));
    let asked = (0..31).filter(|_| catching.note_newer(false, t + MS * 500));
    assert_eq!(asked.count(), 1);
    catching.finish_request();
    assert!(catching.note_newer(false, t + MS * 750));
    catching.finish_request();
    catching.note_applied();
    assert!(!catching.note_newer(false, t + MS * 760));
}

#[test]
fn first_version_is_asked_for_at_once() {
    let mut catching = pool::ConfigFetch::default();
    assert!(catching.note_newer(true, start()));
    assert!(!catching.note_newer(true, start()));
}

/// What an organisation gets of its 100 a second over 8 s and burst of 200, at one
/// entry of two, `after` both were started again.
#[parameterized(
    burst_at_once = { 0, 200.0 },
    rate_since_then = { 4_000, 600.0 },
    all_after_a_window = { 8_000, 1_000.0 },
)]
fn allowance_is_not_given_anew_by_a_restart(after: u32, units: f64) {
    let t = start();
    let tenant = tenant(100.0, 200.0);
    let mut allowance = pool::RateLimiter::new(MS * 8_000);
    allowance.note_restart(t);
    let now = t + MS * after;
    let nothing = collections::BTreeMap::new();
    let since = allowance.time_since_restart(now);
    allowance.update_peer(&Name::from("peer"), nothing, since, now);
    assert_eq!(allowance.charge(&tenant, units, now), Ok(()));
    assert!(allowance.charge(&tenant, 1.0, now).is_err());
}

#[test]
fn allowance_of_one_restart_in_two_is_half_known() {
    let t = start();
    let tenant = tenant(100.0, 200.0);
    let mut allowance = pool::RateLimiter::new(MS * 8_000);
    let nothing = collections::BTreeMap::new();
    allowance.update_peer(&Name::from("peer"), nothing, Some(time::Duration::ZERO), t);
    assert_eq!(allowance.charge(&tenant, 600.0, t), Ok(()));
    assert!(allowance.charge(&tenant, 1.0, t).is_err());
}
