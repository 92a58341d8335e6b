//! Tests of the seat scheduler, gap model, prefill queue, retry budget, quarantine,
//! fleet and recent usage, with an injected clock.

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

/// Target of all test requests for the time between tokens.
const GAP_TARGET: time::Duration = time::Duration::from_millis(31);

fn urgency(now: time::Instant, due_ms: u64, yields: bool, usage_share: f64) -> Urgency {
    Urgency {
        due: now + time::Duration::from_millis(due_ms),
        yields,
        usage_share,
        lead_time: time::Duration::from_millis(50),
        gap_target: GAP_TARGET,
    }
}

fn bid(seats: &mut SeatScheduler, attempt: u64, pieces: u32, urgency: Urgency) {
    assert!(seats.enqueue(AttemptId(attempt), pieces, urgency));
}

#[test]
fn seats_are_never_oversubscribed() {
    let now = time::Instant::now();
    let mut seats = SeatScheduler::new(2, 10);
    for attempt in 0..5 {
        bid(&mut seats, attempt, 3, urgency(now, 500, false, 0.0));
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

/// `a` and `b` are the two bids in order of arrival: the time until the first token is
/// due, in milliseconds, whether the class yields, and the usage share.
#[parameterized(
    less_slack_first = { (300, false, 0.0), (200, false, 0.0), 1 },
    yielding_class_goes_behind = { (200, true, 0.0), (900, false, 0.0), 1 },
    lowest_usage_first_at_equal_slack = { (300, false, 0.9), (310, false, 0.1), 1 },
    late_goes_behind = { (10, false, 0.0), (900, false, 0.0), 1 },
    late_goes_behind_yielding_class = { (10, false, 0.0), (9_000, true, 0.0), 1 },
    arrival_order_among_equals = { (300, false, 0.0), (300, false, 0.0), 0 },
)]
fn grant_takes_the_most_urgent(a: (u64, bool, f64), b: (u64, bool, f64), first: u64) {
    let now = time::Instant::now();
    let mut seats = SeatScheduler::new(1, 10);
    bid(&mut seats, 0, 1, urgency(now, a.0, a.1, a.2));
    bid(&mut seats, 1, 1, urgency(now, b.0, b.1, b.2));
    assert_eq!(seats.grant(now), vec![AttemptId(first)]);
}

#[test]
fn late_request_is_still_served() {
    let now = time::Instant::now();
    let mut seats = SeatScheduler::new(1, 10);
    bid(&mut seats, 0, 1, urgency(now, 0, false, 0.0));
    assert_eq!(seats.grant(now), vec![AttemptId(0)]);
}

#[test]
fn large_bid_is_overtaken_a_limited_number_of_times() {
    let now = time::Instant::now();
    let mut seats = SeatScheduler::new(20, 10);
    bid(&mut seats, 0, 4, urgency(now, 500, false, 0.0));
    seats.grant(now);
    bid(&mut seats, 1, 10, urgency(now, 100, false, 0.0));
    let mut overtaking = 0;
    for attempt in 2..40 {
        bid(&mut seats, attempt, 1, urgency(now, 500, false, 0.0));
        let granted = seats.grant(now);
        overtaking += granted.len();
        granted.into_iter().for_each(|a| seats.release(a));
    }
    assert!(overtaking <= 10, "overtaken by {overtaking} bids");
    seats.release(AttemptId(0));
    assert_eq!(seats.grant(now), vec![AttemptId(1)]);
}

#[test]
fn bid_above_the_engine_memory_is_refused() {
    let now = time::Instant::now();
    let mut seats = SeatScheduler::new(20, 10);
    assert!(!seats.enqueue(AttemptId(0), 11, urgency(now, 500, false, 0.0)));
}

#[test]
fn drain_refuses_waiting_and_later_bids() {
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
fn seat_that_would_miss_a_target_goes_to_a_tolerant_request() {
    let now = time::Instant::now();
    let mut seats = SeatScheduler::new(20, 200);
    for attempt in 0..4 {
        bid(&mut seats, attempt, 1, urgency(now, 500, false, 0.0));
    }
    seats.grant(now);
    // The four streams have gaps of 32 ms, so a fifth would miss its 31 ms target.
    for _ in 0..100 {
        seats.record_gap(time::Duration::from_millis(32));
    }
    bid(&mut seats, 9, 1, urgency(now, 500, false, 0.0));
    assert_eq!(seats.grant(now), Vec::new());
    let tolerant = Urgency {
        gap_target: time::Duration::from_millis(200),
        ..urgency(now, 500, false, 0.0)
    };
    bid(&mut seats, 10, 1, tolerant);
    assert_eq!(seats.grant(now), vec![AttemptId(10)]);
}

#[test]
fn gap_model_learns_the_effect_of_occupancy() {
    let mut gap_model = TokenGapModel::default();
    assert_eq!(gap_model.predict(5), None);
    for i in 0..400 {
        let occupancy = 1 + i % 20;
        let micros = 10_000 + 200 * occupancy as u64;
        gap_model.record(occupancy, time::Duration::from_micros(micros));
    }
    let predicted = gap_model.predict(20).expect("there are enough samples");
    let error = predicted.as_micros().abs_diff(14_000);
    assert!(error < 300, "{predicted:?}");
}

/// `a` and `b` are the two prompts in order of arrival: the time until the first token
/// is due, in milliseconds, and the number of tokens.
#[parameterized(
    shortest_first = { (500, 900), (500, 100), 1 },
    late_goes_behind = { (0, 100), (500, 900), 1 },
    arrival_order_without_deadline = { (200_000_000, 900), (200_000_000, 100), 0 },
)]
fn prefill_queue_takes_the_shortest_prompt_that_is_not_late(
    a: (u64, u64),
    b: (u64, u64),
    first: u64,
) {
    let now = time::Instant::now();
    let mut queue = PrefillQueue::new(1);
    assert!(queue.enqueue(AttemptId(0), a.1, urgency(now, a.0, false, 0.0)));
    assert!(queue.enqueue(AttemptId(1), b.1, urgency(now, b.0, false, 0.0)));
    assert_eq!(queue.start_next(now), vec![AttemptId(first)]);
}

#[test]
fn prefill_queue_runs_one_prompt_at_a_time_and_learns_its_rate() {
    let now = time::Instant::now();
    let mut queue = PrefillQueue::new(1);
    assert!(queue.enqueue(AttemptId(0), 1_000, urgency(now, 900, false, 0.0)));
    assert!(queue.enqueue(AttemptId(1), 500, urgency(now, 400, false, 0.0)));
    assert_eq!(queue.start_next(now), vec![AttemptId(1)]);
    assert_eq!(queue.start_next(now), Vec::new());
    assert_eq!(queue.backlog_tokens(), 1_500);
    assert!(queue.remove(AttemptId(1)));
    let before = queue.token_rate();
    queue.record_prefill(1_000, time::Duration::from_millis(50));
    assert!(queue.token_rate() > before);
    assert_eq!(queue.start_next(now), vec![AttemptId(0)]);
}

#[test]
fn retries_are_limited_to_a_fraction_of_first_attempts() {
    let now = time::Instant::now();
    let mut budget = RetryBudget::new(now);
    let mut allowed = 0;
    for _ in 0..1_000 {
        budget.record_attempt();
        allowed += u32::from(budget.try_retry(RetryCause::Prefill, now));
    }
    assert!((100..=110).contains(&allowed), "{allowed}");
    // Another cause has a budget of its own.
    assert!(budget.try_retry(RetryCause::Stream, now));
}

#[test]
fn crash_reported_twice_counts_once_and_an_answer_clears_a_suspect() {
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
fn cached_prefix_is_preferred_only_while_it_saves_time() {
    let now = time::Instant::now();
    let mut fleet = fleet();
    let prefixes = PrefixHashes::of_prompt(&"the same long inspection log ".repeat(2_000));
    let tokens = 14_000;
    // The idle host is chosen first and then has the prefix cached.
    let first = fleet
        .choose_prefill("summary", "", tokens, &prefixes, now)
        .expect("a host");
    assert_eq!((&*first.host, first.cached_tokens), ("prefill-1", 0));
    let again = fleet
        .choose_prefill("summary", "", tokens, &prefixes, now)
        .expect("a host");
    assert_eq!(&*again.host, "prefill-1");
    assert!(again.cached_tokens > 13_000);
    // With a long queue there, a full prefill at the other host is faster.
    let busy = LoadReport {
        backlog_tokens: 60_000,
        token_rate: 10_000.0,
        ..LoadReport::default()
    };
    fleet.update_load("prefill-1", busy);
    let third = fleet
        .choose_prefill("summary", "", tokens, &prefixes, now)
        .expect("a host");
    assert_eq!(&*third.host, "prefill-0");
}

#[test]
fn agent_is_avoided_for_a_while_after_a_failure() {
    let now = time::Instant::now();
    let mut fleet = fleet();
    let prefixes = PrefixHashes::default();
    fleet.record_failure("prefill-1", now);
    let choice = fleet
        .choose_prefill("summary", "", 10, &prefixes, now)
        .expect("a host");
    assert_eq!(&*choice.host, "prefill-0");
    let later = now + time::Duration::from_secs(3);
    let choice = fleet
        .choose_prefill("summary", "", 10, &prefixes, later)
        .expect("a host");
    assert_eq!(&*choice.host, "prefill-1");
}

#[test]
fn usage_share_decays_with_time() {
    let now = time::Instant::now();
    let mut usage = RecentUsage::default();
    usage.record(&"rangers".into(), 1_000, now);
    let at_once = usage.share("rangers", 100, now);
    let later = usage.share("rangers", 100, now + time::Duration::from_secs(20));
    assert!(at_once > 0.9 && later < 0.2, "{at_once} {later}");
    assert_eq!(usage.share("farms", 100, now), 0.0);
}
