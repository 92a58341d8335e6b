//! Seats, lanes, budgets and views, on an injected clock.

use conf::Policy;
use route::AgentView;
use route::AttemptId;
use route::CrashId;
use route::Digest;
use route::Fleet;
use route::LoadReport;
use route::PrefillQueue;
use route::PrefixHashes;
use route::Quarantine;
use route::RecentUsage;
use route::RetryBudget;
use route::RetryCause;
use route::SeatScheduler;
use route::TokenGapModel;
use route::Urgency;
use std::time;
use world::Role;
use yare::parameterized;

const GAP_TARGET: time::Duration = time::Duration::from_millis(31);

fn urgency(now: time::Instant, slack: u64, yields: bool, usage_share: f64) -> Urgency {
    Urgency {
        due: now + time::Duration::from_millis(slack),
        yields,
        usage_share,
        lead_time: time::Duration::from_millis(50),
        gap_target: GAP_TARGET,
    }
}

fn bid(seats: &mut SeatScheduler, ticket: u64, pieces: u32, urgency: Urgency) {
    assert!(seats.enqueue(AttemptId(ticket), pieces, urgency));
}

#[test]
fn seats_are_never_oversubscribed() {
    let now = time::Instant::now();
    let mut seats = SeatScheduler::new(2, 10);
    for ticket in 0..5 {
        bid(&mut seats, ticket, 3, urgency(now, 500, false, 0.0));
    }
    assert_eq!(seats.grant(now).len(), 2);
    assert_eq!(
        (
            seats.free_seats(),
            seats.free_pieces(),
            seats.waiting_bids()
        ),
        (0, 4, 3)
    );
    seats.release(AttemptId(0));
    seats.release(AttemptId(0));
    assert_eq!(seats.grant(now).len(), 1);
}

#[parameterized(
    less_slack_first = { (300, false, 0.0), (200, false, 0.0), 1 },
    waiting_class_yields = { (200, true, 0.0), (900, false, 0.0), 1 },
    worst_served_first_at_equal_slack = { (300, false, 0.9), (310, false, 0.1), 1 },
    late_goes_behind = { (10, false, 0.0), (900, false, 0.0), 1 },
    late_goes_behind_waiting_class = { (10, false, 0.0), (9_000, true, 0.0), 1 },
    first_come_first_among_equals = { (300, false, 0.0), (300, false, 0.0), 0 },
)]
fn grant_takes_the_most_pressing(a: (u64, bool, f64), b: (u64, bool, f64), first: u64) {
    let now = time::Instant::now();
    let mut seats = SeatScheduler::new(1, 10);
    bid(&mut seats, 0, 1, urgency(now, a.0, a.1, a.2));
    bid(&mut seats, 1, 1, urgency(now, b.0, b.1, b.2));
    assert_eq!(seats.grant(now), vec![AttemptId(first)]);
}

#[test]
fn late_work_is_served_in_the_end() {
    let now = time::Instant::now();
    let mut seats = SeatScheduler::new(1, 10);
    bid(&mut seats, 0, 1, urgency(now, 0, false, 0.0));
    assert_eq!(seats.grant(now), vec![AttemptId(0)]);
}

#[test]
fn large_bid_is_not_passed_for_ever() {
    let now = time::Instant::now();
    let mut seats = SeatScheduler::new(20, 10);
    bid(&mut seats, 0, 4, urgency(now, 500, false, 0.0));
    seats.grant(now);
    bid(&mut seats, 1, 10, urgency(now, 100, false, 0.0));
    let mut passed = 0;
    for ticket in 2..40 {
        bid(&mut seats, ticket, 1, urgency(now, 500, false, 0.0));
        let granted = seats.grant(now);
        passed += granted.len();
        granted.into_iter().for_each(|t| seats.release(t));
    }
    assert!(passed <= 10, "{passed} went before it");
    seats.release(AttemptId(0));
    assert_eq!(seats.grant(now), vec![AttemptId(1)]);
}

#[test]
fn bid_that_no_engine_memory_holds_is_refused() {
    let now = time::Instant::now();
    let mut seats = SeatScheduler::new(20, 10);
    assert!(!seats.enqueue(AttemptId(0), 11, urgency(now, 500, false, 0.0)));
}

#[test]
fn drain_refuses_those_that_wait_and_all_later() {
    let now = time::Instant::now();
    let mut seats = SeatScheduler::new(1, 10);
    bid(&mut seats, 0, 1, urgency(now, 500, false, 0.0));
    seats.grant(now);
    bid(&mut seats, 1, 1, urgency(now, 500, false, 0.0));
    assert_eq!(seats.drain(), vec![AttemptId(1)]);
    assert!(!seats.enqueue(AttemptId(2), 1, urgency(now, 500, false, 0.0)));
    assert!(seats.holds_seat(AttemptId(0)));
}

#[test]
fn seat_that_would_break_a_target_is_kept_for_others() {
    let now = time::Instant::now();
    let mut seats = SeatScheduler::new(20, 200);
    for ticket in 0..4 {
        bid(&mut seats, ticket, 1, urgency(now, 500, false, 0.0));
    }
    seats.grant(now);
    // Four streams are at 30 ms already; a fifth breaks their 31 ms or its own.
    for _ in 0..100 {
        seats.record_gap(time::Duration::from_millis(32));
    }
    bid(&mut seats, 9, 1, urgency(now, 500, false, 0.0));
    assert_eq!(seats.grant(now), Vec::new());
    let loose = Urgency {
        gap_target: time::Duration::from_millis(200),
        ..urgency(now, 500, false, 0.0)
    };
    bid(&mut seats, 10, 1, loose);
    assert_eq!(seats.grant(now), vec![AttemptId(10)]);
}

#[test]
fn speed_learns_how_streams_slow_each_other() {
    let mut speed = TokenGapModel::default();
    assert_eq!(speed.predict(5), None);
    for i in 0..400 {
        let occupancy = 1 + i % 20;
        let micros = 10_000 + 200 * occupancy as u64;
        speed.record(occupancy, time::Duration::from_micros(micros));
    }
    let expected = speed.predict(20).expect("enough was measured");
    let error = expected.as_micros().abs_diff(14_000);
    assert!(error < 300, "{expected:?}");
}

/// Slack and tokens of each prompt, in the order they come.
#[parameterized(
    shortest_first = { (500, 900), (500, 100), 1 },
    late_goes_behind = { (0, 100), (500, 900), 1 },
    unhurried_in_order = { (200_000_000, 900), (200_000_000, 100), 0 },
)]
fn lane_takes_the_shortest_that_is_not_late(a: (u64, u64), b: (u64, u64), first: u64) {
    let now = time::Instant::now();
    let mut lane = PrefillQueue::new(1);
    assert!(lane.enqueue(AttemptId(0), a.1, urgency(now, a.0, false, 0.0)));
    assert!(lane.enqueue(AttemptId(1), b.1, urgency(now, b.0, false, 0.0)));
    assert_eq!(lane.start_next(now), vec![AttemptId(first)]);
}

#[test]
fn lane_takes_prompts_one_at_a_time_and_learns_its_pace() {
    let now = time::Instant::now();
    let mut lane = PrefillQueue::new(1);
    assert!(lane.enqueue(AttemptId(0), 1_000, urgency(now, 900, false, 0.0)));
    assert!(lane.enqueue(AttemptId(1), 500, urgency(now, 400, false, 0.0)));
    assert_eq!(lane.start_next(now), vec![AttemptId(1)]);
    assert_eq!(lane.start_next(now), Vec::new());
    assert_eq!(lane.backlog_tokens(), 1_500);
    assert!(lane.remove(AttemptId(1)));
    let before = lane.token_rate();
    lane.record_prefill(1_000, time::Duration::from_millis(50));
    assert!(lane.token_rate() > before);
    assert_eq!(lane.start_next(now), vec![AttemptId(0)]);
}

#[test]
fn retries_are_a_part_of_first_attempts() {
    let now = time::Instant::now();
    let mut budget = RetryBudget::new(now);
    let mut allowed = 0;
    for _ in 0..1_000 {
        budget.record_attempt();
        allowed += u32::from(budget.try_retry(RetryCause::Prefill, now));
    }
    assert!((100..=110).contains(&allowed), "{allowed}");
    // Another cause has its own.
    assert!(budget.try_retry(RetryCause::Stream, now));
}

#[test]
fn crash_heard_twice_counts_once_and_an_answer_clears() {
    let now = time::Instant::now();
    let mut quarantine = Quarantine::default();
    let digest = Digest::of_content("summary-1", "poison");
    let crash = |count| CrashId {
        host: "decode-1".into(),
        count,
    };
    assert!(quarantine.record_crash(digest, crash(1), now));
    assert!(!quarantine.record_crash(digest, crash(1), now));
    assert!(!quarantine.is_quarantined(digest) && quarantine.is_suspect(digest));
    quarantine.clear_suspect(digest);
    assert!(!quarantine.is_suspect(digest));
    quarantine.record_crash(digest, crash(2), now);
    quarantine.record_crash(digest, crash(3), now);
    assert!(quarantine.is_quarantined(digest));
    quarantine.clear_suspect(digest);
    assert!(quarantine.is_quarantined(digest));
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(Policy::Goodput);
    for (i, backlog_tokens) in [4_000, 0].into_iter().enumerate() {
        let host: world::Name = format!("prefill-{i}").into();
        let view = AgentView::new("ruahine".into(), Role::Prefill, "summary".into());
        fleet.add_agent(host.clone(), view);
        let report = LoadReport {
            backlog_tokens,
            token_rate: 10_000.0,
            ..LoadReport::default()
        };
        fleet.update_load(&host, report);
    }
    fleet
}

#[test]
fn prefix_is_worth_what_it_saves_and_no_more() {
    let now = time::Instant::now();
    let mut fleet = fleet();
    let blocks = PrefixHashes::of_prompt(&"the same long inspection log ".repeat(2_000));
    let tokens = 14_000;
    // The idle host at first; it then has the prefix.
    let first = fleet
        .choose_prefill("summary", "", tokens, &blocks, now)
        .expect("a host");
    assert_eq!((&*first.host, first.cached_tokens), ("prefill-1", 0));
    let again = fleet
        .choose_prefill("summary", "", tokens, &blocks, now)
        .expect("a host");
    assert_eq!(&*again.host, "prefill-1");
    assert!(again.cached_tokens > 13_000);
    // With a long queue there, working anew elsewhere is faster.
    let busy = LoadReport {
        backlog_tokens: 60_000,
        token_rate: 10_000.0,
        ..LoadReport::default()
    };
    fleet.update_load("prefill-1", busy);
    let third = fleet
        .choose_prefill("summary", "", tokens, &blocks, now)
        .expect("a host");
    assert_eq!(&*third.host, "prefill-0");
}

#[test]
fn agent_with_trouble_is_avoided_for_a_while() {
    let now = time::Instant::now();
    let mut fleet = fleet();
    let blocks = PrefixHashes::default();
    fleet.record_failure("prefill-1", now);
    let pick = fleet
        .choose_prefill("summary", "", 10, &blocks, now)
        .expect("a host");
    assert_eq!(&*pick.host, "prefill-0");
    let later = now + time::Duration::from_secs(3);
    let pick = fleet
        .choose_prefill("summary", "", 10, &blocks, later)
        .expect("a host");
    assert_eq!(&*pick.host, "prefill-1");
}

#[test]
fn share_fades_with_time() {
    let now = time::Instant::now();
    let mut shares = RecentUsage::default();
    shares.record(&"rangers".into(), 1_000, now);
    let at_once = shares.share("rangers", 100, now);
    let later = shares.share("rangers", 100, now + time::Duration::from_secs(20));
    assert!(at_once > 0.9 && later < 0.2, "{at_once} {later}");
    assert_eq!(shares.share("farms", 100, now), 0.0);
}
