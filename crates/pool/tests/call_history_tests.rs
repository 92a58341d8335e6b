//! Histories of single streams, calls and requests for a configuration: silences, late
//! answers and failures. The promises are checked after each step.

use pool::AttemptEnd;
use proptest::prelude::*;
use std::time;
use world::Name;

const MILLI: time::Duration = time::Duration::from_millis(1);
const FIRST_EVENT_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);
const STALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
const MIN_SILENCE: time::Duration = time::Duration::from_millis(400);
const MAX_PARTIAL_READS: usize = 16;
const CASES: u32 = 1_000;

#[derive(Clone, Debug)]
enum StreamEvent {
    Wait(u64),
    Partial(usize),
    Complete,
    Hold,
    Check,
}

fn stream_events() -> impl Strategy<Value = Vec<StreamEvent>> {
    let event = prop_oneof![
        4 => (1_u64..900).prop_map(StreamEvent::Wait),
        2 => (1_usize..20).prop_map(StreamEvent::Partial),
        1 => Just(StreamEvent::Complete),
        1 => Just(StreamEvent::Hold),
        4 => Just(StreamEvent::Check),
    ];
    prop::collection::vec(event, 1..80)
}

#[derive(Clone, Debug)]
enum CallEvent {
    Wait(u64),
    Start,
    End(prop::sample::Index, u8),
}

fn call_events() -> impl Strategy<Value = Vec<CallEvent>> {
    let end = (any::<prop::sample::Index>(), 0_u8..3);
    let event = prop_oneof![
        2 => (1_u64..900).prop_map(CallEvent::Wait),
        4 => Just(CallEvent::Start),
        3 => end.prop_map(|(which, end)| CallEvent::End(which, end)),
    ];
    prop::collection::vec(event, 1..60)
}

fn retry_mode() -> impl Strategy<Value = seam::RetryMode> {
    prop_oneof![
        Just(seam::RetryMode::Idempotent),
        Just(seam::RetryMode::AtMostOnce),
        Just(seam::RetryMode::Stream),
        Just(seam::RetryMode::Resumable),
    ]
}

#[derive(Clone, Debug)]
enum FetchEvent {
    Wait(u64),
    Newer(bool),
    Finish,
    Applied,
}

fn fetch_events() -> impl Strategy<Value = Vec<FetchEvent>> {
    let event = prop_oneof![
        3 => (1_u64..400).prop_map(FetchEvent::Wait),
        4 => prop::bool::weighted(0.1).prop_map(FetchEvent::Newer),
        1 => Just(FetchEvent::Finish),
        1 => Just(FetchEvent::Applied),
    ];
    prop::collection::vec(event, 1..80)
}

proptest! {
    #![proptest_config(seeded::config(CASES))]

    /// Silence alone ends no stream that can't go on elsewhere, and bytes without an event
    /// don't keep one for ever.
    #[test]
    fn stream_stalls_only_for_a_cause(can_move in any::<bool>(), events in stream_events()) {
        let mut now = time::Instant::now();
        let mut progress = pool::StreamProgress::new(can_move, now);
        let mut patient_until = now + FIRST_EVENT_TIMEOUT;
        let (mut last_read, mut partial_reads, mut is_held) = (now, 0, false);
        for event in events {
            match event {
                StreamEvent::Wait(ms) => now += MILLI * ms as u32,
                StreamEvent::Partial(count) => {
                    (0..count).for_each(|_| progress.record_read(false, now));
                    (last_read, partial_reads) = (now, partial_reads + count);
                }
                StreamEvent::Complete => {
                    progress.record_read(true, now);
                    (last_read, partial_reads, is_held) = (now, 0, false);
                    patient_until = now + STALL_TIMEOUT;
                }
                StreamEvent::Hold => {
                    progress.hold();
                    is_held = true;
                }
                StreamEvent::Check => {
                    let is_due = now >= progress.check_at();
                    let is_silent = now - last_read >= MIN_SILENCE;
                    let is_stalled = progress.is_stalled(now);
                    let may_move = can_move && !is_held;
                    prop_assert!(!is_stalled || now >= patient_until);
                    if is_stalled && !may_move {
                        prop_assert!(partial_reads >= MAX_PARTIAL_READS && !is_silent);
                    }
                    if is_due && may_move {
                        prop_assert!(is_stalled, "a silent stream stays where it is");
                    }
                    if !is_stalled {
                        prop_assert!(progress.check_at() > now);
                        prop_assert!(progress.check_at() <= now + FIRST_EVENT_TIMEOUT);
                    }
                    if is_due && is_silent && !is_stalled {
                        partial_reads = 0;
                    }
                }
            }
        }
        // An engine that sends bytes and no event is found out, and not before the time.
        let mut checks = 0;
        loop {
            now += MILLI * 50;
            progress.record_read(false, now);
            if now >= progress.check_at() && progress.is_stalled(now) {
                break;
            }
            checks += 1;
            prop_assert!(checks < 100, "a stream without events is kept for ever");
        }
    }

    /// No more hosts may execute a call than its route allows.
    #[test]
    fn call_runs_no_more_often_than_allowed(
        retry in retry_mode(),
        max_attempts in 1_u32..5,
        target_ms in 0_u64..600,
        events in call_events(),
    ) {
        let mut now = time::Instant::now();
        let target = MILLI * target_ms as u32;
        let mut attempts = pool::CallAttempts::new(retry, max_attempts, target);
        let max_runs = if retry.is_repeatable() { max_attempts as usize } else { 1 };
        let mut pending: Vec<(Name, time::Instant)> = Vec::new();
        let (mut runs, mut sent, mut started) = (0, 0, 0);
        for event in events {
            match event {
                CallEvent::Wait(ms) => now += MILLI * ms as u32,
                CallEvent::Start => {
                    if attempts.due_at(now).is_some_and(|due| due <= now) {
                        let late_at = pending.first().map(|(_, at)| *at + 2 * target);
                        prop_assert!(late_at.is_none_or(|late| late <= now));
                        let host = Name::from(format!("host-{started}"));
                        prop_assert_eq!(attempts.is_retry(), sent > 0);
                        attempts.start(&host, now);
                        pending.push((host, now));
                        (started, sent) = (started + 1, sent + 1);
                    }
                }
                CallEvent::End(which, end) if !pending.is_empty() => {
                    let (host, _) = pending.remove(which.index(pending.len()));
                    let end = match end {
                        0 => AttemptEnd::Unsent,
                        1 => AttemptEnd::Refused,
                        _ => AttemptEnd::MayHaveRun,
                    };
                    attempts.end(&host, end);
                    runs += usize::from(end == AttemptEnd::MayHaveRun);
                    sent -= usize::from(end == AttemptEnd::Unsent);
                }
                CallEvent::End(..) => {}
            }
            prop_assert!(runs + pending.len() <= max_runs);
            prop_assert!(pending.len() <= 2);
            prop_assert_eq!(attempts.may_have_run(), runs + pending.len() > 0);
            prop_assert_eq!(attempts.tried().len(), started);
            let is_used_up = runs + pending.len() >= max_runs || pending.len() == 2;
            prop_assert_eq!(attempts.due_at(now).is_none(), is_used_up);
        }
    }

    /// One request at a time, and only where the store does not deliver.
    #[test]
    fn configuration_is_requested_once_and_late(events in fetch_events()) {
        let mut now = time::Instant::now();
        let mut fetch = pool::ConfigFetch::default();
        let (mut is_open, mut outdated_at) = (false, None);
        for event in events {
            match event {
                FetchEvent::Wait(ms) => now += MILLI * ms as u32,
                FetchEvent::Newer(unconfigured) => {
                    let since = *outdated_at.get_or_insert(now);
                    let is_late = now - since >= 500 * MILLI;
                    let requests = fetch.record_newer(unconfigured, now);
                    prop_assert_eq!(requests, !is_open && (unconfigured || is_late));
                    is_open |= requests;
                }
                FetchEvent::Finish => {
                    fetch.finish_request();
                    is_open = false;
                }
                FetchEvent::Applied => {
                    fetch.record_applied();
                    outdated_at = None;
                }
            }
        }
    }
}
