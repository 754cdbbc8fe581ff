//! Event streams are split into complete events, whatever chunks they arrive in.

use flamingocroft::ingress::{EventSplitter, SplitError};
use proptest::prelude::*;

fn stream(ids: std::ops::Range<u64>) -> Vec<u8> {
    let event = |id| format!("id: {id}\ndata: piece {id}\n\n");
    ids.map(event).collect::<String>().into_bytes()
}

#[test]
fn partial_events_are_buffered_until_complete() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(b"id: 1\ndata: a\n").unwrap().is_empty());
    assert_eq!(splitter.push(b"\nid: 2").unwrap(), "id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some(1));
    splitter.discard_partial();
    assert_eq!(
        splitter.push(b"id: 2\ndata: b\n\n").unwrap(),
        "id: 2\ndata: b\n\n"
    );
}

#[test]
fn events_that_the_caller_already_has_are_dropped() {
    let mut splitter = EventSplitter::resume_after(Some(2));
    assert_eq!(splitter.push(&stream(1..5)).unwrap(), stream(3..5));
}

#[test]
fn a_gap_in_the_events_is_an_error() {
    let mut splitter = EventSplitter::resume_after(Some(2));
    let gap = SplitError::Gap { last: 2, found: 4 };
    assert_eq!(splitter.push(&stream(4..5)), Err(gap));
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut splitter = EventSplitter::default();
    let event = b"id: 7\r\ndata: a\r\n\r\n";
    assert_eq!(splitter.push(event).unwrap(), &event[..]);
    assert_eq!(splitter.last_id(), Some(7));
}

proptest! {
    /// A stream that breaks off at any bytes and is each time resumed after the last complete event equals the
    /// unbroken stream.
    #[test]
    fn a_resumed_stream_is_complete(
        breaks in proptest::collection::vec(0..400usize, 0..4),
        size in 1..60usize,
    ) {
        let whole = stream(1..20);
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        for stop in breaks.into_iter().map(Some).chain([None]) {
            let from = splitter.last_id().map_or(1, |last| last + 1);
            let part = stream(from..20);
            let part = &part[..stop.unwrap_or(part.len()).min(part.len())];
            for piece in part.chunks(size) {
                passed.extend_from_slice(&splitter.push(piece).unwrap());
            }
            splitter.discard_partial();
        }
        prop_assert_eq!(passed, whole);
    }
}
