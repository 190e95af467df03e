//! The limit that a target names in its answers: its text, and the order of answers.

use lw_base::prelude::*;
use lw_relay::{NamedLimit, parse_decimal};
use test_case::test_case;

const NOW: MonoMs = MonoMs(100_000);

// Guards against a limit that is read as another number, and against nonsense that closes a target.
#[test_case("8.9", Some(8.9); "a decimal number")]
#[test_case(" 12 ", Some(12.0); "a whole number")]
#[test_case("0.05", Some(0.05); "less than one")]
#[test_case("0", Some(0.0); "zero")]
#[test_case("1e2", Some(100.0); "an exponent")]
#[test_case("-1", None; "negative")]
#[test_case("-0", None; "negative zero")]
#[test_case("NaN", None; "not a number")]
#[test_case("inf", None; "infinite")]
#[test_case("1e999", None; "too large for a number")]
#[test_case("", None; "empty")]
#[test_case("8,9", None; "a comma")]
#[test_case("8/s", None; "a unit")]
fn limits_are_decimal_numbers(text: &str, expected: Option<f64>) {
    assert_eq!(parse_decimal(text).ok(), expected);
}

/// An answer: when its request was sent and when it arrived, in milliseconds after [`NOW`], and the limit that it names.
type Answer = (u64, u64, Option<f64>);

struct Case {
    answers: &'static [Answer],
    per_s: Option<f64>,
}

// Guards against an answer that was overtaken by the one in which the target began to name a limit.
#[test_case(&Case { answers: &[], per_s: None }; "no answer")]
#[test_case(&Case { answers: &[(0, 50, None)], per_s: None }; "no limit")]
#[test_case(&Case { answers: &[(0, 50, Some(3.0))], per_s: Some(3.0) }; "a limit")]
#[test_case(&Case { answers: &[(0, 50, Some(3.0)), (60, 90, Some(2.0))], per_s: Some(2.0) }; "a limit that moves")]
#[test_case(&Case { answers: &[(0, 50, Some(3.0)), (60, 90, None)], per_s: None }; "a limit that ends")]
#[test_case(&Case { answers: &[(0, 50, Some(3.0)), (40, 90, None)], per_s: Some(3.0) }; "an answer without a limit to an earlier request")]
#[test_case(&Case { answers: &[(0, 50, Some(3.0)), (60, 90, None), (60, 95, Some(3.0))], per_s: Some(3.0) }; "a limit that begins again")]
fn a_later_answer_decides(case: &Case) {
    let mut limit = NamedLimit::default();
    for (sent_ms, arrived_ms, named_per_s) in case.answers {
        limit.record_answer(
            NOW.plus_ms(*sent_ms),
            NOW.plus_ms(*arrived_ms),
            *named_per_s,
        );
    }
    assert_eq!(limit.per_s(), case.per_s);
}
