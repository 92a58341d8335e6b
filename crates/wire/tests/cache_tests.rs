//! Deltas of a cache lead to the same set at the other end, or to a new start.

use std::collections;
use wire::CacheReceiver;
use wire::CacheReporter;

fn set(blocks: &[u64]) -> collections::BTreeSet<u64> {
    blocks.iter().copied().collect()
}

#[test]
fn listener_follows_the_reporter() {
    let mut reporter = CacheReporter::default();
    let mut listener = CacheReceiver::default();
    let mut known = collections::BTreeSet::new();
    for now in [set(&[]), set(&[1, 2, u64::MAX]), set(&[2]), set(&[2, 9])] {
        let report = reporter.next_report(&now).expect("something changed");
        let delta = listener.apply(&report).expect("none is missing");
        known.retain(|h| !delta.removed.contains(h));
        known.extend(delta.added);
        assert_eq!(known, now);
        assert!(reporter.next_report(&now).is_none());
    }
}

#[test]
fn listener_notices_a_gap() {
    let mut reporter = CacheReporter::default();
    let mut listener = CacheReceiver::default();
    let first = reporter.next_report(&set(&[1])).expect("the first is full");
    assert!(listener.apply(&first).is_some());
    reporter.next_report(&set(&[1, 2])).expect("it changed");
    let third = reporter.next_report(&set(&[1, 2, 3])).expect("it changed");
    assert_eq!(listener.apply(&third), None);
}

#[test]
fn listener_refuses_a_damaged_report() {
    let mut report = CacheReporter::default()
        .next_report(&set(&[1]))
        .expect("the first is full");
    report.added.push("no number".into());
    assert_eq!(CacheReceiver::default().apply(&report), None);
}
