//! Engines in trouble send any bytes in pieces of any size.

// The splitter is private to the crate, and a process can't be sent as many streams.
#[allow(dead_code)]
#[path = "../src/events.rs"]
mod events;

use events::EventSplitter;
use std::time;

/// Bytes of an event that takes long to come in small pieces, of which each is read.
const EVENT_BYTES: usize = 256 * 1024;
const PIECE_BYTES: usize = 16;

/// The work for an event must not grow with the square of its length.
#[test]
fn long_event_in_small_pieces_takes_little_time() {
    let mut text = format!("id: 1\ndata: {}", "x".repeat(EVENT_BYTES));
    text.push_str("\n\n");
    let started_at = time::Instant::now();
    let mut splitter = EventSplitter::new(None);
    let mut passed_on = Vec::new();
    for piece in text.as_bytes().chunks(PIECE_BYTES) {
        passed_on.extend(splitter.push(bytes::Bytes::copy_from_slice(piece)));
    }
    assert_eq!(passed_on.concat(), text.as_bytes());
    assert_eq!(splitter.last_id, Some(1));
    let took = started_at.elapsed();
    assert!(took < time::Duration::from_secs(2), "{took:?}");
}
