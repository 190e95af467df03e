//! Completeness of streams and bodies.

use bytes::Bytes;
use lw_flow::{BodyLength, MAX_EVENT_BYTES, StreamError, StreamTracker};
use test_case::test_case;

#[derive(Clone, Copy)]
struct StreamCase {
    chunks: &'static [&'static str],
    passed: &'static str,
    tokens: u64,
    done: bool,
}

/// Guards against a cut stream that looks complete, and against tokens that a resume repeats or leaves out.
#[test_case(StreamCase { chunks: &["data: a\n\ndata: b\n\n", "data: [DONE]\n\n"],
    passed: "data: a\n\ndata: b\n\ndata: [DONE]\n\n", tokens: 2, done: true } ; "whole stream")]
#[test_case(StreamCase { chunks: &["data: a\n", "\ndata: b"],
    passed: "data: a\n\n", tokens: 1, done: false } ; "cut inside an event")]
#[test_case(StreamCase { chunks: &["data: a\r\n\r\ndata: [DONE]\r\n\r\n"],
    passed: "data: a\r\n\r\ndata: [DONE]\r\n\r\n", tokens: 1, done: true } ; "carriage returns")]
#[test_case(StreamCase { chunks: &[": keep-alive\n\ndata: [DO", "NE]\n\n"],
    passed: ": keep-alive\n\ndata: [DONE]\n\n", tokens: 0, done: true } ; "comment and split marker")]
#[test_case(StreamCase { chunks: &["data: a\ndata: b\n\n"],
    passed: "data: a\ndata: b\n\n", tokens: 1, done: false } ; "two data lines are one event")]
#[test_case(StreamCase { chunks: &["event: error\ndata: {}\n\ndata: a\n\n"],
    passed: "event: error\ndata: {}\n\ndata: a\n\n", tokens: 1, done: false } ; "an error is no token")]
#[test_case(StreamCase { chunks: &["data: say [DONE]\n\n"],
    passed: "data: say [DONE]\n\n", tokens: 1, done: false } ; "marker inside a text")]
fn streams(case: StreamCase) {
    let mut tracker = StreamTracker::default();
    let mut passed = Vec::new();
    for chunk in case.chunks {
        let events = tracker.push(&Bytes::from_static(chunk.as_bytes()));
        passed.extend_from_slice(&events.unwrap());
    }
    assert_eq!(String::from_utf8(passed).unwrap(), case.passed);
    assert_eq!(tracker.tokens(), case.tokens);
    assert_eq!(tracker.is_done(), case.done);
}

/// Guards against an answer that goes on after its end, which belongs to another request.
#[test]
fn events_after_the_end_are_a_fault() {
    let mut tracker = StreamTracker::default();
    let chunk = Bytes::from_static(b"data: [DONE]\n\ndata: b\n\n");
    assert_eq!(tracker.push(&chunk), Err(StreamError::AfterEnd));
}

/// Guards against memory without bound for an event without an end.
#[test]
fn an_endless_event_is_a_fault() {
    let mut tracker = StreamTracker::default();
    let chunk = Bytes::from(vec![b'x'; MAX_EVENT_BYTES + 1]);
    assert_eq!(tracker.push(&chunk), Err(StreamError::EventTooLarge));
}

/// Guards against a short body that is taken for a whole one.
#[test_case(Some(5), &[2, 3], true ; "as declared")]
#[test_case(Some(5), &[2], false ; "short")]
#[test_case(Some(5), &[6], false ; "long")]
#[test_case(None, &[6], true ; "not declared")]
fn lengths(declared: Option<u64>, parts: &[usize], whole: bool) {
    let mut length = BodyLength::new(declared);
    for part in parts {
        length.add(*part);
    }
    assert_eq!(length.is_whole(), whole);
}
