//! Notices of upstream hosts hold for one incarnation, and only time or a successful call
//! ends them.

use pool::CallKind;
use pool::HostNotices;
use pool::Incarnation;
use pool::Permit;
use pool::Withheld;
use proptest::prelude::*;
use std::collections;
use std::time;
use world::Name;
use yare::parameterized;

const SECOND: time::Duration = time::Duration::from_secs(1);

fn target(id: &str, started_ms: u64) -> seam::Target {
    seam::Target {
        id: id.into(),
        address: "10.1.0.1:80".parse().expect("an address"),
        started_ms,
    }
}

fn host(id: &str, started_ms: u64) -> Incarnation {
    Incarnation::from(&target(id, started_ms))
}

fn member(id: &str, started_ms: u64) -> seam::Member {
    seam::Member {
        id: id.into(),
        service: "app".into(),
        address: target(id, started_ms).address,
        zone: "ruahine".into(),
        slots: 8,
        state: seam::MemberState::Ready,
        role: None,
        cold_left: std::time::Duration::ZERO,
        started_ms,
    }
}

/// Returns notices with these hosts in the membership list.
fn listed(ids: &[&str], now: time::Instant) -> HostNotices {
    let mut notices = HostNotices::default();
    let members: Vec<seam::Member> = ids.iter().map(|id| member(id, 1)).collect();
    notices.set_listed(members.iter(), now);
    notices
}

fn leaving(id: &str, started_ms: u64, received_at: time::Instant) -> seam::HostNotice {
    seam::HostNotice {
        host: target(id, started_ms),
        leaving: true,
        retry_after: None,
        pace: None,
        received_at,
    }
}

fn pause(id: &str, delay: time::Duration, received_at: time::Instant) -> seam::HostNotice {
    seam::HostNotice {
        host: target(id, 1),
        leaving: false,
        retry_after: Some(seam::RetryAfter::Delay(delay)),
        pace: None,
        received_at,
    }
}

#[test]
fn leaving_host_gets_no_work_and_control_calls_only() {
    let now = time::Instant::now();
    let mut notices = listed(&["a", "b"], now);
    assert!(notices.record(&leaving("a", 1, now)).leaves);
    assert!(!notices.record(&leaving("a", 1, now)).leaves);
    assert!(!notices.allows(&"a".into(), now));
    assert!(notices.allows(&"b".into(), now));
    let work = notices.start_call(&host("a", 1), CallKind::Work, now);
    assert_eq!(work, Err(Withheld::Leaving));
    let control = notices.start_call(&host("a", 1), CallKind::Control, now);
    assert_eq!(control, Ok(Permit::Usual));
}

/// A list may be read from the store before the host has written that it is leaving, and
/// a host may be missing from one list and be in the next.
#[test]
fn list_takes_no_leaving_back() {
    let now = time::Instant::now();
    let mut notices = listed(&["a"], now);
    notices.record(&leaving("a", 1, now));
    notices.set_listed([member("a", 1)].iter(), now + SECOND);
    assert!(!notices.allows(&"a".into(), now + SECOND));
    notices.set_listed([].iter(), now + 2 * SECOND);
    notices.set_listed([member("a", 1)].iter(), now + 3 * SECOND);
    assert!(!notices.allows(&"a".into(), now + 3 * SECOND));
    notices.set_listed([member("a", 1)].iter(), now + 4_000 * SECOND);
    assert!(!notices.allows(&"a".into(), now + 4_000 * SECOND));
}

#[test]
fn new_incarnation_is_usable_whatever_the_old_one_said() {
    let now = time::Instant::now();
    let mut notices = listed(&["a"], now);
    notices.record(&leaving("a", 1, now));
    notices.record(&pause("a", 9 * SECOND, now));
    notices.set_listed([member("a", 2)].iter(), now);
    assert!(notices.allows(&"a".into(), now));
    // An answer of the old process that comes late, and a peer that tells of it.
    notices.record(&leaving("a", 1, now));
    notices.record_peer(&[host("a", 1)], now);
    assert!(notices.allows(&"a".into(), now));
}

#[test]
fn peers_word_counts_and_is_not_passed_on() {
    let now = time::Instant::now();
    let mut notices = listed(&["a", "b"], now);
    notices.record(&leaving("b", 1, now));
    let told = [host("a", 1), host("b", 1)];
    assert_eq!(notices.record_peer(&told, now), [host("a", 1)]);
    assert_eq!(notices.record_peer(&told, now), []);
    assert!(!notices.allows(&"a".into(), now));
    assert_eq!(notices.own_leaving(now), [host("b", 1)]);
}

#[test]
fn peers_are_told_only_for_a_time_of_a_host_that_is_gone() {
    let now = time::Instant::now();
    let mut notices = listed(&["a"], now);
    notices.record(&leaving("a", 1, now));
    assert_eq!(notices.own_leaving(now + 900 * SECOND), [host("a", 1)]);
    notices.set_listed([].iter(), now);
    assert_eq!(notices.own_leaving(now + 20 * SECOND), [host("a", 1)]);
    assert_eq!(notices.own_leaving(now + 40 * SECOND), []);
}

#[test]
fn pause_counts_from_the_arrival_and_is_not_shortened() {
    let now = time::Instant::now();
    let mut notices = listed(&["a"], now);
    notices.record(&pause("a", 3 * SECOND, now));
    notices.record(&pause("a", SECOND, now + SECOND));
    let just_before = now + 3 * SECOND - time::Duration::from_millis(1);
    for kind in [CallKind::Work, CallKind::Control] {
        let call = notices.start_call(&host("a", 1), kind, just_before);
        assert_eq!(call, Err(Withheld::Paused));
    }
    assert!(!notices.allows(&"a".into(), just_before));
    assert!(notices.allows(&"a".into(), now + 3 * SECOND));
}

#[parameterized(
    zero = { seam::RetryAfter::Delay(time::Duration::ZERO), time::Duration::ZERO },
    fraction = { seam::RetryAfter::Delay(time::Duration::from_millis(250)), time::Duration::from_millis(250) },
    huge = { seam::RetryAfter::Delay(time::Duration::MAX), pool::MAX_PAUSE },
    garbage = { seam::RetryAfter::Invalid("soon".into()), pool::DEFAULT_PAUSE },
)]
fn pause_is_bounded(asked: seam::RetryAfter, expected: time::Duration) {
    let now = time::Instant::now();
    let mut notices = listed(&["a"], now);
    let notice = seam::HostNotice {
        retry_after: Some(asked),
        ..pause("a", SECOND, now)
    };
    assert_eq!(notices.record(&notice).pause, Some(expected));
    let end = now + expected;
    assert!(notices.allows(&"a".into(), end));
    if let Some(before) = end.checked_sub(time::Duration::from_millis(1)) {
        assert_eq!(notices.allows(&"a".into(), before), expected.is_zero());
    }
}

#[test]
fn single_call_tests_a_host_after_its_pause() {
    let now = time::Instant::now();
    let mut notices = listed(&["a"], now);
    notices.record(&pause("a", SECOND, now));
    let end = now + SECOND;
    let work = |n: &mut HostNotices, at| n.start_call(&host("a", 1), CallKind::Work, at);
    assert_eq!(work(&mut notices, end), Ok(Permit::Probe(end)));
    assert_eq!(work(&mut notices, end), Err(Withheld::Probed));
    assert!(notices.is_probing([Name::from("a")].iter(), end));
    // A call from before the pause ends now: it shows nothing.
    notices.end_call(&host("a", 1), Permit::Usual);
    assert_eq!(work(&mut notices, end), Err(Withheld::Probed));
    // The host wants no call again.
    notices.record(&pause("a", SECOND, end));
    notices.end_call(&host("a", 1), Permit::Probe(end));
    assert_eq!(work(&mut notices, end), Err(Withheld::Paused));
    let end = end + SECOND;
    assert_eq!(work(&mut notices, end), Ok(Permit::Probe(end)));
    notices.end_call(&host("a", 1), Permit::Probe(end));
    assert_eq!(work(&mut notices, end), Ok(Permit::Usual));
}

#[test]
fn test_without_an_answer_ends_after_its_timeout() {
    let now = time::Instant::now();
    let mut notices = listed(&["a"], now);
    notices.record(&pause("a", SECOND, now));
    let end = now + SECOND;
    let work = |n: &mut HostNotices, at| n.start_call(&host("a", 1), CallKind::Work, at);
    assert_eq!(work(&mut notices, end), Ok(Permit::Probe(end)));
    let later = end + pool::PROBE_TIMEOUT;
    assert_eq!(work(&mut notices, later), Ok(Permit::Usual));
    assert_eq!(work(&mut notices, later), Ok(Permit::Usual));
}

#[test]
fn earliest_end_is_known_only_if_all_hosts_want_no_call() {
    let now = time::Instant::now();
    let mut notices = listed(&["a", "b", "c"], now);
    let ids = ["a", "b", "c"].map(Name::from);
    notices.record(&pause("a", 3 * SECOND, now));
    notices.record(&pause("b", 2 * SECOND, now));
    assert_eq!(notices.retry_at(ids.iter(), now), None);
    notices.record(&leaving("c", 1, now));
    let end = now + 2 * SECOND;
    assert_eq!(notices.retry_at(ids.iter(), now), Some(end));
    assert_eq!(notices.retry_at(ids.iter(), end), None);
    assert_eq!(notices.retry_at(ids[2..].iter(), now), None);
}

/// A balancer falls back to hosts that are full or have failed, but never to one that wants
/// no call.
#[test]
fn balancer_never_picks_a_host_that_wants_no_call() {
    let now = time::Instant::now();
    let shared = pool::SharedNotices::default();
    let members = ["a", "b"].map(|id| member(id, 1));
    shared.borrow_mut().set_listed(members.iter(), now);
    let mut balancer = pool::HostBalancer::new(shared.clone());
    balancer.set_hosts(members.iter());
    shared.borrow_mut().record(&pause("a", SECOND, now));
    balancer.record_refusal("b", now);
    assert_eq!(balancer.pick("ruahine", &[], now), Some("b".into()));
    assert_eq!(balancer.retry_at(now), None);
    shared.borrow_mut().record(&leaving("b", 1, now));
    assert_eq!(balancer.pick("ruahine", &[], now), None);
    assert_eq!(balancer.retry_at(now), Some(now + SECOND));
}

/// What happens at a host, at some milliseconds after the event before.
#[derive(Clone, Debug)]
enum Event {
    Call,
    End,
    Pause(u64),
    Leave,
    Restart,
    List,
}

fn events() -> impl Strategy<Value = Vec<(u64, Event)>> {
    let event = prop_oneof![
        5 => Just(Event::Call),
        2 => Just(Event::End),
        2 => (0_u64..3_000).prop_map(Event::Pause),
        1 => Just(Event::Leave),
        1 => Just(Event::Restart),
        2 => Just(Event::List),
    ];
    prop::collection::vec((0_u64..500, event), 1..60)
}

proptest! {
    /// Whatever happens, no call is made in a pause, no work goes to a leaving incarnation,
    /// and at most one call is made between the end of a pause and an answer or a timeout.
    #[test]
    fn no_call_is_made_against_a_notice(events in events()) {
        let mut now = time::Instant::now();
        let mut notices = listed(&["a"], now);
        let mut started_ms = 1;
        let mut permits = Vec::new();
        let mut leaving_hosts = collections::BTreeSet::new();
        let mut until: collections::BTreeMap<u64, time::Instant> = collections::BTreeMap::new();
        for (wait, event) in events {
            now += time::Duration::from_millis(wait);
            let current = host("a", started_ms);
            match event {
                Event::Call => {
                    let allowed = notices.allows(&"a".into(), now);
                    let call = notices.start_call(&current, CallKind::Work, now);
                    prop_assert_eq!(allowed, call.is_ok());
                    if let Ok(permit) = call {
                        prop_assert!(!leaving_hosts.contains(&started_ms));
                        prop_assert!(until.get(&started_ms).is_none_or(|u| *u <= now));
                        permits.push((current, permit));
                        if let Permit::Probe(started_at) = permit {
                            prop_assert_eq!(started_at, now);
                            let next = notices.start_call(&host("a", started_ms), CallKind::Control, now);
                            prop_assert_eq!(next, Err(Withheld::Probed));
                        }
                    }
                }
                Event::End => {
                    if let Some((host, permit)) = permits.pop() {
                        notices.end_call(&host, permit);
                    }
                }
                Event::Pause(ms) => {
                    let delay = time::Duration::from_millis(ms);
                    let mut notice = pause("a", delay, now);
                    notice.host.started_ms = started_ms;
                    notices.record(&notice);
                    let end = until.entry(started_ms).or_insert(now);
                    *end = (*end).max(now + delay);
                }
                Event::Leave => {
                    notices.record(&leaving("a", started_ms, now));
                    leaving_hosts.insert(started_ms);
                }
                Event::Restart => {
                    started_ms += 1;
                    notices.set_listed([member("a", started_ms)].iter(), now);
                    prop_assert!(notices.allows(&"a".into(), now));
                }
                Event::List => notices.set_listed([member("a", started_ms)].iter(), now),
            }
        }
    }
}

/// The first call after a pause may come long after its end. A list that is read while that
/// call tests the host doesn't let other calls through.
#[parameterized(
    at_the_end = { time::Duration::ZERO },
    much_later = { time::Duration::from_secs(9) },
)]
fn list_does_not_end_a_test(idle: time::Duration) {
    let now = time::Instant::now();
    let mut notices = listed(&["a"], now);
    notices.record(&pause("a", SECOND, now));
    let at = now + SECOND + idle;
    let work = |n: &mut HostNotices, at| n.start_call(&host("a", 1), CallKind::Work, at);
    assert_eq!(work(&mut notices, at), Ok(Permit::Probe(at)));
    let read_at = at + time::Duration::from_millis(1);
    notices.set_listed([member("a", 1)].iter(), read_at);
    assert_eq!(work(&mut notices, read_at), Err(Withheld::Probed));
}

/// A host that asks for ten minutes means ten minutes: a test call a minute would be nine
/// calls in that time.
#[parameterized(
    two_minutes = { 120 },
    ten_minutes = { 600 },
    an_hour = { 3_600 },
)]
fn long_pause_is_kept_to_its_end(seconds: u64) {
    let now = time::Instant::now();
    let mut notices = listed(&["a"], now);
    let delay = time::Duration::from_secs(seconds);
    assert_eq!(notices.record(&pause("a", delay, now)).pause, Some(delay));
    let calls = (1..seconds).filter(|second| {
        let at = now + time::Duration::from_secs(*second);
        notices.set_listed([member("a", 1)].iter(), at);
        let called = notices.start_call(&host("a", 1), CallKind::Control, at);
        if let Ok(permit) = called {
            // The host still refuses, and tells how much is left.
            notices.record(&pause("a", delay - time::Duration::from_secs(*second), at));
            notices.end_call(&host("a", 1), permit);
        }
        called.is_ok()
    });
    assert_eq!(calls.count(), 0);
    assert!(notices.allows(&"a".into(), now + delay));
}

/// A release may be answered although the host would refuse work.
#[test]
fn control_call_after_a_pause_does_not_let_all_work_return() {
    let now = time::Instant::now();
    let mut notices = listed(&["a"], now);
    notices.record(&pause("a", SECOND, now));
    let end = now + SECOND;
    let control = notices.start_call(&host("a", 1), CallKind::Control, end);
    let permit = control.expect("the pause is over");
    notices.end_call(&host("a", 1), permit);
    let work = |n: &mut HostNotices, at| n.start_call(&host("a", 1), CallKind::Work, at);
    assert_eq!(work(&mut notices, end), Ok(Permit::Probe(end)));
    assert_eq!(work(&mut notices, end), Err(Withheld::Probed));
}

#[test]
fn control_call_without_an_answer_does_not_let_all_work_return() {
    let now = time::Instant::now();
    let mut notices = listed(&["a"], now);
    notices.record(&pause("a", SECOND, now));
    let end = now + SECOND;
    let control = notices.start_call(&host("a", 1), CallKind::Control, end);
    assert!(control.is_ok());
    let later = end + pool::PROBE_TIMEOUT;
    let work = |n: &mut HostNotices, at| n.start_call(&host("a", 1), CallKind::Work, at);
    assert_eq!(work(&mut notices, later), Ok(Permit::Probe(later)));
    assert_eq!(work(&mut notices, later), Err(Withheld::Probed));
}
