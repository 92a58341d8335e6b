//! Tests when a stream whose events stop coming counts as stalled.

use pool::StreamProgress;
use std::time;
use yare::parameterized;

fn seconds(seconds: f64) -> time::Duration {
    time::Duration::from_secs_f64(seconds)
}

/// Returns after how many seconds of silence a stream counts as stalled, within a minute.
fn stalled_after(progress: &mut StreamProgress, from: time::Instant) -> Option<f64> {
    let end = from + seconds(60.0);
    loop {
        let at = progress.check_at();
        if at > end {
            return None;
        }
        if progress.is_stalled(at) {
            return Some(at.duration_since(from).as_secs_f64());
        }
        assert!(progress.check_at() > at, "each check must move on");
    }
}

#[parameterized(
    before_the_first_event = { 0 },
    between_events = { 3 },
    inside_an_event = { 4 },
)]
fn silence_never_ends_a_stream_that_can_not_move(reads: u32) {
    let start = time::Instant::now();
    let mut progress = StreamProgress::new(false, start);
    for read in 0..reads {
        progress.record_read(read < 3, start);
    }
    assert_eq!(stalled_after(&mut progress, start), None);
}

#[parameterized(
    before_the_first_event = { 0, 2.5 },
    between_events = { 3, 1.5 },
    inside_an_event = { 4, 1.5 },
)]
fn silent_stream_that_can_move_is_stalled(reads: u32, after: f64) {
    let start = time::Instant::now();
    let mut progress = StreamProgress::new(true, start);
    for read in 0..reads {
        progress.record_read(read < 3, start);
    }
    assert_eq!(stalled_after(&mut progress, start), Some(after));
}

/// An engine in trouble may send a byte now and then and never complete an event.
#[test]
fn bytes_that_complete_no_event_end_a_stream() {
    let start = time::Instant::now();
    let mut progress = StreamProgress::new(false, start);
    progress.record_read(true, start);
    for read in 1..=20 {
        progress.record_read(false, start + seconds(0.07) * read);
    }
    assert!(!progress.is_stalled(start + seconds(1.4)));
    assert_eq!(stalled_after(&mut progress, start), Some(1.5));
}

#[test]
fn complete_event_starts_the_count_anew() {
    let start = time::Instant::now();
    let mut progress = StreamProgress::new(false, start);
    for read in 0..100 {
        let now = start + seconds(0.1) * read;
        progress.record_read(read % 10 == 9, now);
        assert!(!progress.is_stalled(now));
    }
}

/// No other engine takes the stream now; after the next event that is looked at anew.
#[test]
fn silence_ends_no_held_stream_before_its_next_event() {
    let start = time::Instant::now();
    let mut progress = StreamProgress::new(true, start);
    progress.record_read(true, start);
    progress.hold();
    assert_eq!(stalled_after(&mut progress, start), None);
    let event_at = start + seconds(60.0);
    progress.record_read(true, event_at);
    assert_eq!(stalled_after(&mut progress, event_at), Some(1.5));
}

/// The first bytes of a long event may come in many reads, before its engine falls silent.
#[test]
fn silence_inside_a_long_event_ends_no_stream_that_can_not_move() {
    let start = time::Instant::now();
    let mut progress = StreamProgress::new(false, start);
    for _ in 0..40 {
        progress.record_read(false, start);
    }
    assert_eq!(stalled_after(&mut progress, start), None);
}
