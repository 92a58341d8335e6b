//! Peers, pauses and fencing numbers, on an injected clock.

use member::FencingState;
use member::LinkAction;
use member::PauseDetector;
use member::PeerEvent;
use member::PeerIdentity;
use member::PeerStatus;
use member::PeerTable;
use member::ShareHolders;
use member::StateValidity;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections;
use std::ops;
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

fn identity() -> PeerIdentity {
    PeerIdentity {
        role: Role::Decode,
        upstream: "summary".into(),
        incarnation: 1,
    }
}

fn joined(base: time::Instant) -> PeerTable {
    let mut roster = PeerTable::new("entry-1".into(), 7);
    let listed = vec![
        host("decode-1", HostState::Live),
        host("entry-1", HostState::Live),
    ];
    let actions = roster.handle_event(PeerEvent::ListRead(listed), base);
    assert_eq!(
        actions,
        vec![LinkAction::Open(host("decode-1", HostState::Live))]
    );
    roster.handle_event(PeerEvent::LinkOpened("decode-1".into(), identity()), base);
    roster
}

#[parameterized(
    at_once = { 0, PeerStatus::Serving },
    within_a_heartbeat = { 400, PeerStatus::Serving },
    silent = { 1_300, PeerStatus::Suspect },
)]
fn standing_follows_heartbeats(millis: u64, expected: PeerStatus) {
    let base = time::Instant::now();
    let roster = joined(base);
    assert_eq!(roster.status("decode-1", after(base, millis)), expected);
}

#[test]
fn silent_peer_is_closed_and_opened_anew() {
    let base = time::Instant::now();
    let mut roster = joined(base);
    let actions = roster.handle_event(PeerEvent::Tick, after(base, 3_100));
    assert_eq!(actions, vec![LinkAction::Close("decode-1".into())]);
    assert_eq!(
        roster.status("decode-1", after(base, 3_100)),
        PeerStatus::Disconnected
    );
    let actions = roster.handle_event(PeerEvent::Tick, after(base, 3_300));
    assert_eq!(actions.len(), 1);
}

#[test]
fn leaving_peer_gets_no_work_at_once() {
    let base = time::Instant::now();
    let mut roster = joined(base);
    roster.handle_event(
        PeerEvent::ListRead(vec![host("decode-1", HostState::Leaving)]),
        base,
    );
    assert_eq!(roster.status("decode-1", base), PeerStatus::Leaving);
    let mut roster = joined(base);
    roster.handle_event(PeerEvent::Heartbeat("decode-1".into(), true), base);
    assert_eq!(roster.status("decode-1", base), PeerStatus::Leaving);
    let mut roster = joined(base);
    roster.set_drained(["decode-1".into()]);
    assert_eq!(roster.status("decode-1", base), PeerStatus::Leaving);
}

#[test]
fn peer_that_beats_stays_when_the_list_forgets_it() {
    let base = time::Instant::now();
    let mut roster = joined(base);
    roster.handle_event(PeerEvent::ListRead(Vec::new()), base);
    assert_eq!(roster.status("decode-1", base), PeerStatus::Serving);
    roster.handle_event(PeerEvent::LinkClosed("decode-1".into()), base);
    roster.handle_event(PeerEvent::ListRead(Vec::new()), after(base, 500));
    let actions = roster.handle_event(PeerEvent::Tick, after(base, 10_000));
    assert_eq!(actions, Vec::new());
}

#[test]
fn pause_is_noticed_before_the_next_decision() {
    let base = time::Instant::now();
    let mut pulse = PauseDetector::new(base);
    assert!(!pulse.tick(after(base, 100)));
    assert!(pulse.is_awake(after(base, 200)));
    // Woken up, the process decides before its tick comes.
    assert!(!pulse.is_awake(after(base, 9_000)));
    assert!(pulse.tick(after(base, 9_000)));
    assert!(!pulse.is_awake(after(base, 9_001)));
    pulse.clear();
    assert!(pulse.is_awake(after(base, 9_002)));
}

#[parameterized(
    checked_upstream = { true, 0, Some(4) },
    unchecked_upstream_at_once = { false, 0, None },
    unchecked_upstream_later = { false, 3_000, Some(4) },
)]
fn orders_wait_for_earlier_givers(checked: bool, millis: u64, expected: Option<u64>) {
    let base = time::Instant::now();
    let mut fence = FencingState::new(checked);
    assert!(fence.needs_number());
    assert_eq!(fence.number(base), None);
    fence.set_number(4, base);
    assert_eq!(fence.number(after(base, millis)), expected);
}

#[test]
fn giver_that_slept_or_was_replaced_orders_nothing() {
    let base = time::Instant::now();
    let mut fence = FencingState::new(true);
    fence.set_number(4, base);
    fence.drop_number();
    assert_eq!(fence.number(after(base, 60_000)), None);
    assert!(fence.needs_number());
    fence.set_number(6, base);
    fence.supersede();
    fence.drop_number();
    assert_eq!(fence.number(after(base, 60_000)), None);
    assert!(!fence.needs_number());
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
        let mut roster = PeerTable::new("entry-1".into(), 7);
        let mut now = 0;
        let mut opening = false;
        for op in ops {
            let event = match op {
                Op::List(true) => PeerEvent::ListRead(vec![host("decode-1", HostState::Live)]),
                Op::List(false) => PeerEvent::ListRead(Vec::new()),
                Op::Opened if opening => PeerEvent::LinkOpened(name.clone(), identity()),
                Op::Failed if opening => PeerEvent::LinkFailed(name.clone()),
                Op::Heard => PeerEvent::Heartbeat(name.clone(), false),
                Op::Closed if !opening => PeerEvent::LinkClosed(name.clone()),
                Op::Wait(millis) => {
                    now += millis;
                    PeerEvent::Tick
                }
                Op::Opened | Op::Failed | Op::Closed => PeerEvent::Tick,
            };
            opening &= !matches!(event, PeerEvent::LinkOpened(..) | PeerEvent::LinkFailed(_));
            let opens = roster.handle_event(event, after(base, now));
            let opens = opens.iter().filter(|a| matches!(a, LinkAction::Open(_))).count();
            prop_assert!(opens <= 1 && !(opening && opens == 1));
            opening |= opens == 1;
        }
        for _ in 0..20 {
            now += 500;
            let listed = vec![host("decode-1", HostState::Live)];
            let opens = roster.handle_event(PeerEvent::ListRead(listed), after(base, now));
            opening |= opens.iter().any(|a| matches!(a, LinkAction::Open(_)));
            if opening {
                roster.handle_event(PeerEvent::LinkOpened(name.clone(), identity()), after(base, now));
                opening = false;
            }
            roster.handle_event(PeerEvent::Heartbeat(name.clone(), false), after(base, now));
        }
        prop_assert_eq!(roster.status("decode-1", after(base, now)), PeerStatus::Serving);
    }
}

fn others(names: &[&str]) -> collections::BTreeSet<Name> {
    names.iter().map(|n| Name::from(*n)).collect()
}

/// Seconds of silence of the store, whether the list names this host, whether
/// another holder is listed and silent.
#[parameterized(
    store_heard = { 9, None, false, true },
    all_silent = { 11, None, false, false },
    outage_and_all_in_sight = { 11, Some(true), false, true },
    outage_and_a_holder_silent = { 11, Some(true), true, false },
    dropped_from_the_list = { 11, Some(false), false, false },
    dropped_but_the_store_is_heard = { 9, Some(false), true, true },
)]
fn trust_needs_the_store_or_all_in_sight(
    silence: u64,
    named: Option<bool>,
    isolated: bool,
    expected: bool,
) {
    let base = time::Instant::now();
    let mut trust = StateValidity::new(base);
    let now = after(base, silence * 1_000);
    if let Some(named) = named {
        trust.record_list(named, now);
    }
    trust.set_isolated(isolated);
    assert_eq!(trust.is_valid(now), expected);
    trust.record_store_answer(now);
    assert!(trust.is_valid(now));
}

/// Lets time pass with a reading of the list twice a second.
fn watch_list(
    holders: &mut ShareHolders,
    base: time::Instant,
    seconds: ops::Range<u64>,
    listed: bool,
) {
    for half in seconds.start * 2..=seconds.end * 2 {
        holders.record_list(|_| listed, after(base, half * 500));
    }
}

#[parameterized(
    silent_and_absent = { false, None, true },
    silent_but_listed = { true, None, false },
    absent_but_heard = { false, Some(10), false },
)]
fn holder_is_gone_when_silent_and_absent(listed: bool, heard: Option<u64>, expected: bool) {
    let base = time::Instant::now();
    let mut holders = ShareHolders::default();
    holders.set_holders(&others(&["entry-2"]), base);
    if let Some(second) = heard {
        holders.record_heartbeat("entry-2", after(base, second * 1_000));
    }
    watch_list(&mut holders, base, 0..16, listed);
    let gone = holders.gone(after(base, 16_100));
    assert_eq!(!gone.is_empty(), expected, "{gone:?}");
}

#[test]
fn holder_is_not_gone_by_an_old_list() {
    let base = time::Instant::now();
    let mut holders = ShareHolders::default();
    holders.set_holders(&others(&["entry-2"]), base);
    watch_list(&mut holders, base, 0..16, false);
    assert!(!holders.gone(after(base, 16_100)).is_empty());
    // The list has not been read since: the holder may be on it again.
    assert!(holders.gone(after(base, 19_000)).is_empty());
    // Nor does the first reading after a gap tell of the time between.
    holders.record_list(|_| false, after(base, 40_000));
    assert!(holders.gone(after(base, 40_100)).is_empty());
}

#[test]
fn holder_that_is_listed_and_silent_isolates() {
    let base = time::Instant::now();
    let mut holders = ShareHolders::default();
    holders.set_holders(&others(&["entry-2"]), base);
    watch_list(&mut holders, base, 0..11, true);
    assert!(holders.is_isolated(after(base, 11_000)));
    holders.record_heartbeat("entry-2", after(base, 11_000));
    assert!(!holders.is_isolated(after(base, 11_000)));
    // One that the list has dropped is not waited for.
    watch_list(&mut holders, base, 12..30, false);
    assert!(!holders.is_isolated(after(base, 30_000)));
}
