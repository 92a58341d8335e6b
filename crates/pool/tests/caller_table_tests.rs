//! Tests whose connection is closed where callers have more than an entry has room for.

use pool::Admission;
use pool::CallerId;
use pool::CallerStage;
use pool::CallerTable;
use pool::Eviction;
use std::time;
use yare::parameterized;

/// Descriptors with which a table has room for 30 connections.
const DESCRIPTORS: u64 = 250;
const LIMIT: usize = 30;

fn after(start: time::Instant, millis: u64) -> time::Instant {
    start + time::Duration::from_millis(millis)
}

/// Returns a full table of connections in one stage, the first of which is the oldest.
fn full_table(stage: CallerStage, start: time::Instant) -> (CallerTable, Vec<CallerId>) {
    let mut table = CallerTable::new(DESCRIPTORS);
    let ids = (0..LIMIT as u64).map(|number| match table.admit(after(start, number)) {
        Admission::Accepted(id) => {
            if matches!(stage, CallerStage::Blocked | CallerStage::Idle) {
                table.set_stage(id, CallerStage::Served, after(start, number));
            }
            table.set_stage(id, stage, after(start, number));
            id
        }
        other => panic!("{other:?}"),
    });
    let ids = ids.collect();
    (table, ids)
}

#[test]
fn limit_follows_descriptors() {
    let limits = [0, 250, 600, 4_100].map(|d| CallerTable::new(d).limit());
    assert_eq!(limits, [16, 30, 240, 2_340]);
}

#[parameterized(
    unfinished = { CallerStage::Unfinished, 600 },
    uploading = { CallerStage::Uploading, 600 },
    refused = { CallerStage::Refused, 260 },
    blocked = { CallerStage::Blocked, 2_100 },
    idle = { CallerStage::Idle, 2_100 },
)]
fn longest_in_stage_yields_to_newcomer(stage: CallerStage, millis: u64) {
    let start = time::Instant::now();
    let (mut table, ids) = full_table(stage, start);
    let early = table.admit(after(start, 100));
    assert_eq!(early, Admission::Refused);
    let replaced = table.admit(after(start, millis));
    assert!(
        matches!(replaced, Admission::Replaced(_, evicted) if evicted == ids[0]),
        "{replaced:?}"
    );
    assert_eq!(table.len(), LIMIT);
}

/// A request that runs is worth more than any newcomer.
#[test]
fn served_callers_are_kept() {
    let start = time::Instant::now();
    let (mut table, _) = full_table(CallerStage::Served, start);
    assert_eq!(table.admit(after(start, 3_600_000)), Admission::Refused);
    assert_eq!(table.evict(after(start, 3_600_000)), None);
}

/// A crowd of unfinished requests costs callers that were served before no connection.
#[test]
fn callers_that_ended_a_request_are_kept_before_others() {
    let start = time::Instant::now();
    let (mut table, ids) = full_table(CallerStage::Idle, start);
    let stranger = match table.admit(after(start, 3_000)) {
        Admission::Replaced(stranger, evicted) if evicted == ids[0] => stranger,
        other => panic!("{other:?}"),
    };
    for (index, id) in ids[1..].iter().enumerate() {
        let at = after(start, 3_000 + index as u64);
        table.set_stage(*id, CallerStage::Unfinished, at);
    }
    assert_eq!(
        table.evict(after(start, 9_000)),
        Some(Eviction::Close(stranger))
    );
    assert_eq!(
        table.evict(after(start, 9_000)),
        Some(Eviction::Close(ids[1]))
    );
}

/// The stage of a connection that was evicted may change until its task ends.
#[test]
fn evicted_connection_does_not_come_back() {
    let start = time::Instant::now();
    let (mut table, ids) = full_table(CallerStage::Unfinished, start);
    assert_eq!(
        table.evict(after(start, 1_000)),
        Some(Eviction::Close(ids[0]))
    );
    table.set_stage(ids[0], CallerStage::Idle, after(start, 1_000));
    table.remove(ids[0]);
    assert_eq!(table.len(), LIMIT - 1);
}

/// A caller that sends a byte now and then is not stalled, and takes as much room.
#[test]
fn slow_upload_is_refused_after_a_while() {
    let start = time::Instant::now();
    let (mut table, ids) = full_table(CallerStage::Uploading, start);
    for millis in (0..=3_100).step_by(100) {
        for id in &ids {
            table.record_bytes(*id, after(start, millis));
        }
        if millis < 3_000 {
            assert_eq!(table.evict(after(start, millis)), None, "{millis}");
        }
    }
    let now = after(start, 3_100);
    assert_eq!(table.evict(now), Some(Eviction::Refuse(ids[0])));
    // It goes on sending after its refusal, and its connection still counts.
    assert_eq!(table.len(), LIMIT);
    let now = after(start, 3_400);
    for id in &ids {
        table.record_bytes(*id, now);
    }
    assert_eq!(table.evict(now), Some(Eviction::Close(ids[0])));
}
