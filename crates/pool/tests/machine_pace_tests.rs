//! Tests what hosts on shared machines say of their pace.

use pool::MachinePaces;
use std::time;
use world::Name;
use yare::parameterized;

const MILLI: time::Duration = time::Duration::from_millis(1);

#[test]
fn pace_counts_for_a_moment() {
    let (mut paces, now) = (MachinePaces::default(), time::Instant::now());
    let host = Name::from("host");
    paces.record(&host, 2.5, now);
    assert_eq!(paces.factor("host", now + MILLI * 100), 2.5);
    assert_eq!(paces.factor("other", now), 1.0);
    assert_eq!(paces.factor("host", now + MILLI * 700), 1.0);
}

/// Answers on different connections overtake each other, and so do peers' messages.
#[test]
fn later_word_holds() {
    let (mut paces, now) = (MachinePaces::default(), time::Instant::now());
    let host = Name::from("host");
    paces.record(&host, 1.0, now + MILLI * 50);
    paces.record(&host, 2.5, now);
    assert_eq!(paces.factor("host", now + MILLI * 60), 1.0);
    paces.apply_reports(&[(host.clone(), 2.5, 20)], now + MILLI * 40);
    assert_eq!(paces.factor("host", now + MILLI * 60), 1.0);
    paces.apply_reports(&[(host, 2.5, 20)], now + MILLI * 90);
    assert_eq!(paces.factor("host", now + MILLI * 100), 2.5);
}

#[test]
fn only_slow_machines_are_told() {
    let (mut paces, now) = (MachinePaces::default(), time::Instant::now());
    for (id, pace) in [("usual", 1.0), ("slow", 2.5), ("fast", 0.8)] {
        paces.record(&Name::from(id), pace, now);
    }
    let told = paces.reports(now + MILLI * 100);
    assert_eq!(told, [(Name::from("slow"), 2.5, 100)]);
    assert!(paces.reports(now + MILLI * 400).is_empty());
}

#[parameterized(
    none = { f64::NAN, 1.0 },
    zero = { 0.0, 1.0 },
    negative = { -2.0, 1.0 },
    endless = { f64::INFINITY, 1.0 },
    huge = { 1e9, 5.0 },
    tiny = { 1e-9, 0.5 },
)]
fn absurd_pace_moves_little(pace: f64, factor: f64) {
    let (mut paces, now) = (MachinePaces::default(), time::Instant::now());
    paces.record(&Name::from("host"), pace, now);
    assert_eq!(paces.factor("host", now), factor);
}
