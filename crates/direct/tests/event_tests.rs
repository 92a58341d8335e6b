//! Engines in trouble send any bytes in pieces of any size.

// The splitter is private to the crate, and a process can't be sent as many streams.
#[allow(dead_code)]
#[path = "../src/events.rs"]
mod events;

use events::EventSplitter;

/// Bytes of an event that takes long to come in small pieces, of which each is read.
const EVENT_BYTES: usize = 64 * 1024;
const PIECE_BYTES: usize = 16;

#[test]
fn long_event_in_small_pieces_is_passed_on_once_it_is_whole() {
    let mut text = format!("id: 1\ndata: {}", "x".repeat(EVENT_BYTES));
    text.push_str("\n\n");
    let mut splitter = EventSplitter::new(None);
    let mut passed_on = Vec::new();
    for piece in text.as_bytes().chunks(PIECE_BYTES) {
        passed_on.extend(splitter.push(bytes::Bytes::copy_from_slice(piece)));
    }
    assert_eq!(passed_on.concat(), text.as_bytes());
    assert_eq!(splitter.last_id, Some(1));
}

/// The work for an event must not grow with the square of its length.
#[test]
fn known_bytes_are_not_searched_again_for_the_end_of_an_event() {
    let text = b"id: 1\n\nid: 2\n\nid: 3";
    assert_eq!(events::last_end(text, 0), Some(14));
    assert_eq!(events::last_end(text, 12), Some(14));
    // The first byte of an end may be known already, both may not.
    assert_eq!(events::last_end(text, 13), Some(14));
    assert_eq!(events::last_end(text, 14), None);
    assert_eq!(events::last_end(text, text.len()), None);
}
