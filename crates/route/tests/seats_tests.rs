//! Seats, lanes, budgets and views, on an injected clock.

use conf::Policy;
use route::Blocks;
use route::Cause;
use route::CrashId;
use route::Digest;
use route::Fleet;
use route::Lane;
use route::Quarantine;
use route::Report;
use route::RetryBudget;
use route::Seats;
use route::Shares;
use route::Speed;
use route::Ticket;
use route::Urgency;
use route::View;
use std::time;
use world::Role;
use yare::parameterized;

const TOKEN: time::Duration = time::Duration::from_millis(31);

fn urgency(now: time::Instant, slack: u64, waits: bool, share: f64) -> Urgency {
    Urgency {
        due: now + time::Duration::from_millis(slack),
        waits,
        share,
        work: time::Duration::from_millis(50),
        token: TOKEN,
    }
}

fn bid(seats: &mut Seats, ticket: u64, pieces: u32, urgency: Urgency) {
    assert!(seats.bid(Ticket(ticket), pieces, urgency));
}

#[test]
fn seats_are_never_oversubscribed() {
    let now = time::Instant::now();
    let mut seats = Seats::new(2, 10);
    for ticket in 0..5 {
        bid(&mut seats, ticket, 3, urgency(now, 500, false, 0.0));
    }
    assert_eq!(seats.grant(now).len(), 2);
    assert_eq!(
        (seats.free_seats(), seats.free_pieces(), seats.waiting()),
        (0, 4, 3)
    );
    seats.leave(Ticket(0));
    seats.leave(Ticket(0));
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
    let mut seats = Seats::new(1, 10);
    bid(&mut seats, 0, 1, urgency(now, a.0, a.1, a.2));
    bid(&mut seats, 1, 1, urgency(now, b.0, b.1, b.2));
    assert_eq!(seats.grant(now), vec![Ticket(first)]);
}

#[test]
fn late_work_is_served_in_the_end() {
    let now = time::Instant::now();
    let mut seats = Seats::new(1, 10);
    bid(&mut seats, 0, 1, urgency(now, 0, false, 0.0));
    assert_eq!(seats.grant(now), vec![Ticket(0)]);
}

#[test]
fn large_bid_is_not_passed_for_ever() {
    let now = time::Instant::now();
    let mut seats = Seats::new(20, 10);
    bid(&mut seats, 0, 4, urgency(now, 500, false, 0.0));
    seats.grant(now);
    bid(&mut seats, 1, 10, urgency(now, 100, false, 0.0));
    let mut passed = 0;
    for ticket in 2..40 {
        bid(&mut seats, ticket, 1, urgency(now, 500, false, 0.0));
        let granted = seats.grant(now);
        passed += granted.len();
        granted.into_iter().for_each(|t| seats.leave(t));
    }
    assert!(passed <= 10, "{passed} went before it");
    seats.leave(Ticket(0));
    assert_eq!(seats.grant(now), vec![Ticket(1)]);
}

#[test]
fn bid_that_no_engine_memory_holds_is_refused() {
    let now = time::Instant::now();
    let mut seats = Seats::new(20, 10);
    assert!(!seats.bid(Ticket(0), 11, urgency(now, 500, false, 0.0)));
}

#[test]
fn drain_refuses_those_that_wait_and_all_later() {
    let now = time::Instant::now();
    let mut seats = Seats::new(1, 10);
    bid(&mut seats, 0, 1, urgency(now, 500, false, 0.0));
    seats.grant(now);
    bid(&mut seats, 1, 1, urgency(now, 500, false, 0.0));
    assert_eq!(seats.drain(), vec![Ticket(1)]);
    assert!(!seats.bid(Ticket(2), 1, urgency(now, 500, false, 0.0)));
    assert!(seats.holds(Ticket(0)));
}

#[test]
fn seat_that_would_break_a_target_is_kept_for_others() {
    let now = time::Instant::now();
    let mut seats = Seats::new(20, 200);
    for ticket in 0..4 {
        bid(&mut seats, ticket, 1, urgency(now, 500, false, 0.0));
    }
    seats.grant(now);
    // Four streams are at 30 ms already; a fifth breaks their 31 ms or its own.
    for _ in 0..100 {
        seats.measure(time::Duration::from_millis(32));
    }
    bid(&mut seats, 9, 1, urgency(now, 500, false, 0.0));
    assert_eq!(seats.grant(now), Vec::new());
    let loose = Urgency {
        token: time::Duration::from_millis(200),
        ..urgency(now, 500, false, 0.0)
    };
    bid(&mut seats, 10, 1, loose);
    assert_eq!(seats.grant(now), vec![Ticket(10)]);
}

#[test]
fn speed_learns_how_streams_slow_each_other() {
    let mut speed = Speed::default();
    assert_eq!(speed.expect(5), None);
    for i in 0..400 {
        let occupancy = 1 + i % 20;
        let micros = 10_000 + 200 * occupancy as u64;
        speed.measure(occupancy, time::Duration::from_micros(micros));
    }
    let expected = speed.expect(20).expect("enough was measured");
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
    let mut lane = Lane::new(1);
    assert!(lane.join(Ticket(0), a.1, urgency(now, a.0, false, 0.0)));
    assert!(lane.join(Ticket(1), b.1, urgency(now, b.0, false, 0.0)));
    assert_eq!(lane.start(now), vec![Ticket(first)]);
}

#[test]
fn lane_takes_prompts_one_at_a_time_and_learns_its_pace() {
    let now = time::Instant::now();
    let mut lane = Lane::new(1);
    assert!(lane.join(Ticket(0), 1_000, urgency(now, 900, false, 0.0)));
    assert!(lane.join(Ticket(1), 500, urgency(now, 400, false, 0.0)));
    assert_eq!(lane.start(now), vec![Ticket(1)]);
    assert_eq!(lane.start(now), Vec::new());
    assert_eq!(lane.backlog(), 1_500);
    assert!(lane.leave(Ticket(1)));
    let before = lane.pace();
    lane.measure(1_000, time::Duration::from_millis(50));
    assert!(lane.pace() > before);
    assert_eq!(lane.start(now), vec![Ticket(0)]);
}

#[test]
fn retries_are_a_part_of_first_attempts() {
    let now = time::Instant::now();
    let mut budget = RetryBudget::new(now);
    let mut allowed = 0;
    for _ in 0..1_000 {
        budget.attempt();
        allowed += u32::from(budget.retry(Cause::Prefill, now));
    }
    assert!((100..=110).contains(&allowed), "{allowed}");
    // Another cause has its own.
    assert!(budget.retry(Cause::Stream, now));
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
    assert!(quarantine.note(digest, crash(1), now));
    assert!(!quarantine.note(digest, crash(1), now));
    assert!(!quarantine.holds(digest) && quarantine.suspects(digest));
    quarantine.clear(digest);
    assert!(!quarantine.suspects(digest));
    quarantine.note(digest, crash(2), now);
    quarantine.note(digest, crash(3), now);
    assert!(quarantine.holds(digest));
    quarantine.clear(digest);
    assert!(quarantine.holds(digest));
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(Policy::Goodput);
    for (i, backlog) in [4_000, 0].into_iter().enumerate() {
        let host: world::Name = format!("prefill-{i}").into();
        let view = View::new("ruahine".into(), Role::Prefill, "summary".into());
        fleet.join(host.clone(), view);
        let report = Report {
            backlog,
            pace: 10_000.0,
            ..Report::default()
        };
        fleet.report(&host, report);
    }
    fleet
}

#[test]
fn prefix_is_worth_what_it_saves_and_no_more() {
    let now = time::Instant::now();
    let mut fleet = fleet();
    let blocks = Blocks::of_prompt(&"the same long inspection log ".repeat(2_000));
    let tokens = 14_000;
    // The idle host at first; it then has the prefix.
    let first = fleet
        .choose_prefill("summary", "", tokens, &blocks, now)
        .expect("a host");
    assert_eq!((&*first.host, first.cached), ("prefill-1", 0));
    let again = fleet
        .choose_prefill("summary", "", tokens, &blocks, now)
        .expect("a host");
    assert_eq!(&*again.host, "prefill-1");
    assert!(again.cached > 13_000);
    // With a long queue there, working anew elsewhere is faster.
    let busy = Report {
        backlog: 60_000,
        pace: 10_000.0,
        ..Report::default()
    };
    fleet.report("prefill-1", busy);
    let third = fleet
        .choose_prefill("summary", "", tokens, &blocks, now)
        .expect("a host");
    assert_eq!(&*third.host, "prefill-0");
}

#[test]
fn agent_with_trouble_is_avoided_for_a_while() {
    let now = time::Instant::now();
    let mut fleet = fleet();
    let blocks = Blocks::default();
    fleet.blame("prefill-1", now);
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
    let mut shares = Shares::default();
    shares.serve(&"rangers".into(), 1_000, now);
    let at_once = shares.share("rangers", 100, now);
    let later = shares.share("rangers", 100, now + time::Duration::from_secs(20));
    assert!(at_once > 0.9 && later < 0.2, "{at_once} {later}");
    assert_eq!(shares.share("farms", 100, now), 0.0);
}
