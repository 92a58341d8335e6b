//! Cache reports reproduce the reporter's set of blocks at the receiver, or are rejected
//! after a gap.

use std::collections;
use wire::CacheReceiver;
use wire::CacheReporter;

fn block_set(blocks: &[u64]) -> collections::BTreeSet<u64> {
    blocks.iter().copied().collect()
}

#[test]
fn receiver_reproduces_the_reported_set() {
    let mut reporter = CacheReporter::default();
    let mut receiver = CacheReceiver::default();
    let mut received = collections::BTreeSet::new();
    for current in [
        block_set(&[]),
        block_set(&[1, 2, u64::MAX]),
        block_set(&[2]),
        block_set(&[2, 9]),
    ] {
        let report = reporter.next_report(&current).expect("the set changed");
        let delta = receiver.apply(&report).expect("no report is missing");
        received.retain(|h| !delta.removed.contains(h));
        received.extend(delta.added);
        assert_eq!(received, current);
        assert!(reporter.next_report(&current).is_none());
    }
}

#[test]
fn receiver_rejects_a_report_after_a_gap() {
    let mut reporter = CacheReporter::default();
    let mut receiver = CacheReceiver::default();
    let first = reporter
        .next_report(&block_set(&[1]))
        .expect("the first report is full");
    assert!(receiver.apply(&first).is_some());
    reporter
        .next_report(&block_set(&[1, 2]))
        .expect("the set changed");
    let third = reporter
        .next_report(&block_set(&[1, 2, 3]))
        .expect("the set changed");
    assert_eq!(receiver.apply(&third), None);
}

#[test]
fn receiver_rejects_an_invalid_hash() {
    let mut report = CacheReporter::default()
        .next_report(&block_set(&[1]))
        .expect("the first report is full");
    report.added.push("not a hash".into());
    assert_eq!(CacheReceiver::default().apply(&report), None);
}
