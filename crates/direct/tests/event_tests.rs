//! Engines in trouble send any bytes in pieces of any size.

// The splitter is private to the crate, and a process can't be sent as many streams.
#[allow(dead_code)]
#[path = "../src/events.rs"]
mod events;

use events::EventSplitter;
use proptest::prelude::*;

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

proptest! {
    #![proptest_config(seeded::config(2_000))]

    /// Whatever an engine sends, whole events are passed on in order, once, and as they came;
    /// how the bytes were cut makes no difference.
    #[test]
    fn random_bytes_are_passed_on_as_whole_events(
        parts in prop::collection::vec(prop_oneof![
            4 => (0_u64..9).prop_map(|id| format!("id: {id}\ndata: x\n\n").into_bytes()),
            1 => Just(b"id: 18446744073709551615\n\n".to_vec()),
            1 => Just(b": comment\n\n".to_vec()),
            1 => "[a-z:\n ]{0,12}".prop_map(String::into_bytes),
            2 => prop::collection::vec(any::<u8>(), 0..20),
        ], 0..12),
        piece in 1_usize..40,
    ) {
        let sent = parts.concat();
        let read = |piece: usize| {
            let mut splitter = EventSplitter::new(None);
            let pieces = sent.chunks(piece);
            let events = pieces.filter_map(|p| splitter.push(bytes::Bytes::copy_from_slice(p)));
            let events = events.collect::<Vec<_>>().concat();
            (events, splitter.last_id, splitter.is_misordered())
        };
        let (events, last_id, is_misordered) = read(piece);
        prop_assert!(sent.starts_with(&events));
        prop_assert!(events.is_empty() || events.ends_with(b"\n\n"));
        prop_assert_eq!((events, last_id, is_misordered), read(1));
    }
}

/// An engine that ends its events with an empty line more has sent whole events.
#[test]
fn surplus_empty_line_is_read_alike_in_any_pieces() {
    let text = b"id: 0\ndata: x\n\n\n";
    let partial = |piece: usize| {
        let mut splitter = EventSplitter::new(None);
        for part in text.chunks(piece) {
            splitter.push(bytes::Bytes::copy_from_slice(part));
        }
        splitter.has_partial()
    };
    assert_eq!(partial(1), partial(text.len()));
}
