//! Peers, pauses and fencing numbers, on an injected clock.

use member::Action;
use member::Event;
use member::Fence;
use member::Identity;
use member::Pulse;
use member::Roster;
use member::Standing;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time;
use world::Host;
use world::HostState;
use world::Name;
use world::Role;
use yare::parameterized;

fn after(base: time::Instant, millis: u64) -> time::Instant {
    base + time::Duration::from_millis(millis)
}

fn host(name: &str, state: HostState) -> Host {
    Host {
        name: name.into(),
        address: ([127, 0, 0, 1], 7001).into(),
        zone: "ruahine".into(),
        state,
    }
}

fn identity() -> Identity {
    Identity {
        role: Role::Decode,
        upstream: "summary".into(),
        incarnation: 1,
    }
}

fn joined(base: time::Instant) -> Roster {
    let mut roster = Roster::new("entry-1".into(), 7);
    let listed = vec![
        host("decode-1", HostState::Live),
        host("entry-1", HostState::Live),
    ];
    let actions = roster.step(Event::Listed(listed), base);
    assert_eq!(
        actions,
        vec![Action::Open(host("decode-1", HostState::Live))]
    );
    roster.step(Event::Opened("decode-1".into(), identity()), base);
    roster
}

#[parameterized(
    at_once = { 0, Standing::Serving },
    within_a_heartbeat = { 400, Standing::Serving },
    silent = { 1_300, Standing::Suspect },
)]
fn standing_follows_heartbeats(millis: u64, expected: Standing) {
    let base = time::Instant::now();
    let roster = joined(base);
    assert_eq!(roster.standing("decode-1", after(base, millis)), expected);
}

#[test]
fn silent_peer_is_closed_and_opened_anew() {
    let base = time::Instant::now();
    let mut roster = joined(base);
    let actions = roster.step(Event::Tick, after(base, 3_100));
    assert_eq!(actions, vec![Action::Close("decode-1".into())]);
    assert_eq!(
        roster.standing("decode-1", after(base, 3_100)),
        Standing::Gone
    );
    let actions = roster.step(Event::Tick, after(base, 3_300));
    assert_eq!(actions.len(), 1);
}

#[test]
fn leaving_peer_gets_no_work_at_once() {
    let base = time::Instant::now();
    let mut roster = joined(base);
    roster.step(
        Event::Listed(vec![host("decode-1", HostState::Leaving)]),
        base,
    );
    assert_eq!(roster.standing("decode-1", base), Standing::Leaving);
    let mut roster = joined(base);
    roster.step(Event::Heard("decode-1".into(), true), base);
    assert_eq!(roster.standing("decode-1", base), Standing::Leaving);
    let mut roster = joined(base);
    roster.drain(["decode-1".into()]);
    assert_eq!(roster.standing("decode-1", base), Standing::Leaving);
}

#[test]
fn peer_that_beats_stays_when_the_list_forgets_it() {
    let base = time::Instant::now();
    let mut roster = joined(base);
    roster.step(Event::Listed(Vec::new()), base);
    assert_eq!(roster.standing("decode-1", base), Standing::Serving);
    roster.step(Event::Closed("decode-1".into()), base);
    roster.step(Event::Listed(Vec::new()), after(base, 500));
    let actions = roster.step(Event::Tick, after(base, 10_000));
    assert_eq!(actions, Vec::new());
}

#[test]
fn pause_is_noticed_before_the_next_decision() {
    let base = time::Instant::now();
    let mut pulse = Pulse::new(base);
    assert!(!pulse.beat(after(base, 100)));
    assert!(pulse.awake(after(base, 200)));
    // Woken up, the process decides before its tick comes.
    assert!(!pulse.awake(after(base, 9_000)));
    assert!(pulse.beat(after(base, 9_000)));
    assert!(!pulse.awake(after(base, 9_001)));
    pulse.checked();
    assert!(pulse.awake(after(base, 9_002)));
}

#[parameterized(
    checked_upstream = { true, 0, Some(4) },
    unchecked_upstream_at_once = { false, 0, None },
    unchecked_upstream_later = { false, 3_000, Some(4) },
)]
fn orders_wait_for_earlier_givers(checked: bool, millis: u64, expected: Option<u64>) {
    let base = time::Instant::now();
    let mut fence = Fence::new(checked);
    assert!(fence.wants_claim());
    assert_eq!(fence.number(base), None);
    fence.claim(4, base);
    assert_eq!(fence.number(after(base, millis)), expected);
}

#[test]
fn giver_that_slept_or_was_replaced_orders_nothing() {
    let base = time::Instant::now();
    let mut fence = Fence::new(true);
    fence.claim(4, base);
    fence.wake();
    assert_eq!(fence.number(after(base, 60_000)), None);
    assert!(fence.wants_claim());
    fence.claim(6, base);
    fence.depose();
    fence.wake();
    assert_eq!(fence.number(after(base, 60_000)), None);
    assert!(!fence.wants_claim());
}

#[derive(Clone, Debug)]
enum Op {
    List(bool),
    Opened,
    Failed,
    Heard,
    Closed,
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        any::<bool>().prop_map(Op::List),
        Just(Op::Opened),
        Just(Op::Failed),
        Just(Op::Heard),
        Just(Op::Closed),
        (0..4_000u64).prop_map(Op::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 10_000,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A peer that is listed and can be reached is served again in the end, and
    /// one link at most is opened at a time.
    #[test]
    fn listed_peer_comes_back(ops in prop::collection::vec(op(), 0..60)) {
        let base = time::Instant::now();
        let name: Name = "decode-1".into();
        let mut roster = Roster::new("entry-1".into(), 7);
        let mut now = 0;
        let mut opening = false;
        for op in ops {
            let event = match op {
                Op::List(true) => Event::Listed(vec![host("decode-1", HostState::Live)]),
                Op::List(false) => Event::Listed(Vec::new()),
                Op::Opened if opening => Event::Opened(name.clone(), identity()),
                Op::Failed if opening => Event::Failed(name.clone()),
                Op::Heard => Event::Heard(name.clone(), false),
                Op::Closed if !opening => Event::Closed(name.clone()),
                Op::Wait(millis) => {
                    now += millis;
                    Event::Tick
                }
                Op::Opened | Op::Failed | Op::Closed => Event::Tick,
            };
            opening &= !matches!(event, Event::Opened(..) | Event::Failed(_));
            let opens = roster.step(event, after(base, now));
            let opens = opens.iter().filter(|a| matches!(a, Action::Open(_))).count();
            prop_assert!(opens <= 1 && !(opening && opens == 1));
            opening |= opens == 1;
        }
        for _ in 0..20 {
            now += 500;
            let listed = vec![host("decode-1", HostState::Live)];
            let opens = roster.step(Event::Listed(listed), after(base, now));
            opening |= opens.iter().any(|a| matches!(a, Action::Open(_)));
            if opening {
                roster.step(Event::Opened(name.clone(), identity()), after(base, now));
                opening = false;
            }
            roster.step(Event::Heard(name.clone(), false), after(base, now));
        }
        prop_assert_eq!(roster.standing("decode-1", after(base, now)), Standing::Serving);
    }
}
