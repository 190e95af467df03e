//! Streams that are cut at any byte and go on elsewhere.

use bytes::Bytes;
use lw_flow::{EventCursor, EventCursorError};
use test_case::test_case;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// Guards against half an event that reaches the caller, and against a piece that is lost or sent twice in a resume.
#[test]
fn a_stream_that_is_cut_anywhere_goes_on_without_loss() {
    let whole: String = (1..=5).map(event).collect();
    for cut in 0..whole.len() {
        let mut cursor = EventCursor::after(None);
        let mut passed = Vec::new();
        let first = cursor.push(&Bytes::copy_from_slice(&whole.as_bytes()[..cut]));
        passed.extend_from_slice(&first.expect("the events are in order"));
        cursor.resume();
        let rest: String = (cursor.last_id().unwrap_or(0) + 1..=5).map(event).collect();
        let rest = cursor.push(&Bytes::from(rest)).expect("the events follow");
        passed.extend_from_slice(&rest);
        assert_eq!(passed, whole.as_bytes(), "cut at {cut}");
        assert!(cursor.is_whole());
    }
}

struct Case {
    first: &'static [u64],
    resumed: &'static [u64],
    fault: Option<EventCursorError>,
}

// Guards against a target that goes on at the wrong event.
#[test_case(&Case { first: &[1, 2], resumed: &[3, 4], fault: None }; "the next event follows")]
#[test_case(&Case { first: &[1, 2], resumed: &[2, 3], fault: Some(EventCursorError::OutOfOrder) }; "an event again")]
#[test_case(&Case { first: &[1, 2], resumed: &[4], fault: Some(EventCursorError::OutOfOrder) }; "an event is missing")]
#[test_case(&Case { first: &[], resumed: &[1], fault: None }; "nothing was passed on before")]
fn a_resumed_stream_must_follow(case: &Case) {
    let mut cursor = EventCursor::after(None);
    let first: String = case.first.iter().copied().map(event).collect();
    cursor
        .push(&Bytes::from(first))
        .expect("the first events are in order");
    cursor.resume();
    let resumed: String = case.resumed.iter().copied().map(event).collect();
    assert_eq!(cursor.push(&Bytes::from(resumed)).err(), case.fault);
}

/// Guards against a memory that grows with a stream that never ends an event.
#[test]
fn an_endless_event_is_refused() {
    let mut cursor = EventCursor::after(None);
    let chunk = Bytes::from(vec![b'x'; 300 * 1024]);
    assert_eq!(cursor.push(&chunk).err(), Some(EventCursorError::TooLarge));
}
