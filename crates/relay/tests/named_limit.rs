//! The limit that a target names in its answers: its text, and the order of answers.

use lw_base::prelude::*;
use lw_mesh::StatementId;
use lw_relay::{LimitNews, NamedLimit, parse_decimal};
use test_case::test_case;

const NOW: MonoMs = MonoMs(1_000_000);
/// The process of the host.
const ORIGIN: u32 = 1;

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
            ORIGIN,
            NOW.plus_ms(*sent_ms),
            NOW.plus_ms(*arrived_ms),
            *named_per_s,
        );
    }
    assert_eq!(limit.per_s(), case.per_s);
}

/// What a host has heard: an answer as above, or the report of another host at a time in milliseconds after [`NOW`], with the
/// age of the statement.
#[derive(Clone, Copy)]
enum News {
    Answer(Answer),
    Report {
        at_ms: u64,
        age_ms: u64,
        per_s: Option<f64>,
    },
}

struct ReportCase {
    news: &'static [News],
    per_s: Option<f64>,
    /// What the host then tells others, 100 ms after the last news.
    is_reported: bool,
}

// Guards against a limit that never ends because hosts repeat one another's old reports, and against one that a late report
// ends although the target names it.
#[test_case(&ReportCase { news: &[News::Report { at_ms: 100, age_ms: 50, per_s: Some(3.0) }], per_s: Some(3.0), is_reported: true }; "a limit")]
#[test_case(&ReportCase { news: &[News::Answer((0, 50, Some(3.0))), News::Report { at_ms: 100, age_ms: 60, per_s: Some(2.0) }], per_s: Some(3.0), is_reported: true }; "a limit from before")]
#[test_case(&ReportCase { news: &[News::Answer((0, 50, Some(3.0))), News::Report { at_ms: 100, age_ms: 40, per_s: Some(2.0) }], per_s: Some(2.0), is_reported: true }; "a later limit")]
#[test_case(&ReportCase { news: &[News::Answer((0, 50, Some(3.0))), News::Report { at_ms: 400, age_ms: 200, per_s: None }], per_s: Some(3.0), is_reported: true }; "an end that may have been overtaken")]
#[test_case(&ReportCase { news: &[News::Answer((0, 50, Some(3.0))), News::Report { at_ms: 400, age_ms: 40, per_s: None }], per_s: None, is_reported: true }; "an end")]
#[test_case(&ReportCase { news: &[News::Answer((0, 50, Some(3.0))), News::Answer((60, 90, None)), News::Report { at_ms: 400, age_ms: 345, per_s: Some(3.0) }], per_s: None, is_reported: true }; "an old report after the end")]
#[test_case(&ReportCase { news: &[News::Answer((0, 50, None))], per_s: None, is_reported: false }; "no limit")]
#[test_case(&ReportCase { news: &[News::Report { at_ms: 100, age_ms: 500_000, per_s: Some(3.0) }], per_s: Some(3.0), is_reported: true }; "a limit of long ago")]
fn hosts_learn_a_limit_from_one_another(case: &ReportCase) {
    let mut limit = NamedLimit::default();
    let mut reports = 0;
    let mut last = NOW;
    for news in case.news {
        match *news {
            News::Answer((sent_ms, arrived_ms, per_s)) => {
                last = NOW.plus_ms(arrived_ms);
                limit.record_answer(ORIGIN, NOW.plus_ms(sent_ms), last, per_s);
            }
            News::Report {
                at_ms,
                age_ms,
                per_s,
            } => {
                last = NOW.plus_ms(at_ms);
                reports += 1;
                let statement = StatementId {
                    origin: ORIGIN + 1,
                    number: reports,
                };
                let news = LimitNews {
                    per_s,
                    age_ms,
                    statement,
                };
                limit.record_report(last, news);
            }
        }
    }
    assert_eq!(limit.per_s(), case.per_s);
    let report = limit.report(last.plus_ms(100), 60_000);
    assert_eq!(report.is_some(), case.is_reported);
    assert_eq!(report.and_then(|news| news.per_s), case.per_s);
}

/// Guards against hosts that repeat one statement to each other and make it younger each time: the limit then seemed to be
/// stated after every request, and no answer could end it.
#[test]
fn a_statement_does_not_become_younger_as_it_is_passed_on() {
    const HOSTS: usize = 4;
    /// Heartbeats are read so long after they were built, in milliseconds.
    const DELAY_MS: u64 = 60;
    let mut limits = [NamedLimit::default(); HOSTS];
    limits[0].record_answer(ORIGIN, NOW, NOW, Some(3.0));
    for step in 1..=20 {
        let sent_at = NOW.plus_ms(step * 100);
        let sender = step as usize % HOSTS;
        let Some(news) = limits[sender].report(sent_at, 60_000) else {
            continue;
        };
        for limit in &mut limits {
            limit.record_report(sent_at.plus_ms(DELAY_MS), news);
        }
    }
    let end = NOW.plus_ms(2_100);
    let youngest_ms = limits
        .iter()
        .filter_map(|limit| limit.statement_age_ms(end));
    let youngest_ms = youngest_ms.min().expect("the hosts know the limit");
    assert!(youngest_ms >= 2_100 - DELAY_MS, "{youngest_ms}");
}
