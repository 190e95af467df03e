//! Pauses that targets ask for: their length, and the return of the hosts.

use lw_base::prelude::*;
use lw_relay::{TargetPause, parse_retry_after_ms};
use test_case::test_case;

const NOW: MonoMs = MonoMs(100_000);
const HOSTS: u64 = 100;

// Guards against a pause that is shorter than asked for, and against nonsense that closes a target.
#[test_case("1", Some(1_000); "whole seconds")]
#[test_case(" 0.25 ", Some(250); "a fraction")]
#[test_case("0.0001", Some(1); "a small fraction")]
#[test_case("0", Some(0); "zero")]
#[test_case("1e300", Some(u64::MAX); "a huge number")]
#[test_case("86400", Some(86_400_000); "a day")]
#[test_case("-1", None; "negative")]
#[test_case("NaN", None; "not a number")]
#[test_case("inf", None; "infinite")]
#[test_case("", None; "empty")]
#[test_case("Fri, 04 Dec 2026 08:00:00 GMT", None; "a date")]
fn delays_are_numbers_of_seconds(text: &str, expected_ms: Option<u64>) {
    assert_eq!(parse_retry_after_ms(text).ok(), expected_ms);
}

struct Case {
    /// The pauses that the target asks for, each with its time in milliseconds after [`NOW`].
    pauses: &'static [(u64, u64)],
    checked_after_ms: u64,
    is_closed: bool,
}

// Guards against a request before the end of the longest pause, and against an overflow that opens the target.
#[test_case(&Case { pauses: &[], checked_after_ms: 0, is_closed: false }; "no pause")]
#[test_case(&Case { pauses: &[(0, 2_000)], checked_after_ms: 1_999, is_closed: true }; "in the pause")]
#[test_case(&Case { pauses: &[(0, 2_000)], checked_after_ms: 2_501, is_closed: false }; "after the pause")]
#[test_case(&Case { pauses: &[(0, 2_000), (100, 200)], checked_after_ms: 1_999, is_closed: true }; "a later pause that ends earlier")]
#[test_case(&Case { pauses: &[(0, 500), (400, 2_000)], checked_after_ms: 2_399, is_closed: true }; "a later pause that ends later")]
#[test_case(&Case { pauses: &[(0, u64::MAX)], checked_after_ms: 3_600_000, is_closed: true }; "a pause without end")]
fn a_target_is_closed_until_the_end_of_its_longest_pause(case: &Case) {
    for draw in [0.0, 1.0] {
        let mut pause = TargetPause::default();
        for (at, pause_ms) in case.pauses {
            pause.close(NOW.plus_ms(*at), *pause_ms, draw);
        }
        let now = NOW.plus_ms(case.checked_after_ms);
        assert_eq!(pause.closed_until(now).is_some(), case.is_closed);
        assert_eq!(pause.may_send(now, 0), !case.is_closed);
    }
}

/// Guards against a target that is full again at once, because all hosts return to it in the same millisecond and with
/// all their traffic. The load: 100 hosts, each with requests waiting for the target.
#[test]
fn hosts_return_to_a_target_gradually() {
    let mut pauses: Vec<TargetPause> = vec![TargetPause::default(); HOSTS as usize];
    for (host, pause) in pauses.iter_mut().enumerate() {
        pause.close(NOW, 2_000, host as f64 / HOSTS as f64);
    }
    let mut sent_at_once = 0;
    let mut previous = 0;
    for after_ms in 2_000..2_600 {
        let now = NOW.plus_ms(after_ms);
        let open = pauses.iter().filter(|pause| pause.may_send(now, 0)).count();
        sent_at_once = sent_at_once.max(open - previous);
        previous = open;
    }
    assert_eq!(previous, HOSTS as usize, "each host returns");
    assert!(sent_at_once <= 2, "{sent_at_once} hosts in one millisecond");
    // A host sends one request, then twice as many with each answer.
    let now = NOW.plus_ms(2_600);
    let mut windows = Vec::new();
    for _ in 0..6 {
        let unanswered = (0..100).find(|unanswered| !pauses[0].may_send(now, *unanswered));
        windows.push(unanswered);
        pauses[0].record_accepted(now);
    }
    assert_eq!(
        windows,
        [Some(1), Some(2), Some(4), Some(8), Some(16), None]
    );
}

/// Guards against a target that is opened by the answer to a request from before the pause.
#[test]
fn answers_during_the_pause_do_not_open_the_target() {
    let mut pause = TargetPause::default();
    pause.close(NOW, 1_000, 0.0);
    for _ in 0..10 {
        pause.record_accepted(NOW.plus_ms(10));
    }
    let now = NOW.plus_ms(1_001);
    assert!(pause.may_send(now, 0) && !pause.may_send(now, 1));
}
