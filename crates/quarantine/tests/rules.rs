//! The rules by which a host puts prompt parts into quarantine and releases them.

use lw_base::prelude::*;
use lw_quarantine::{CrashStage, PartKey, QUARANTINE_MS, Quarantine, Suspects};
use test_case::test_case;

const START: MonoMs = MonoMs(100_000_000);
const HOUR_MS: u64 = 3_600_000;
/// Longer than hosts spread the ends of a quarantine.
const AFTER_RELEASE_MS: u64 = QUARANTINE_MS + 400_000;

fn key(id: &str) -> PartKey {
    PartKey::of_id(id.as_bytes())
}

fn keys(ids: &[&str]) -> Vec<PartKey> {
    ids.iter().map(|id| key(id)).collect()
}

/// What a host observes.
enum Seen {
    /// A target, by its number, crashes while it works on a request with these parts.
    Crash(u32, &'static [&'static str]),
    /// A target answers a request with these parts.
    Answer(&'static [&'static str]),
}

use Seen::{Answer, Crash};

struct Case {
    /// What the host sees, by the time in milliseconds.
    seen: &'static [(u64, Seen)],
    /// The parts that are in quarantine afterwards.
    quarantined: &'static [&'static str],
}

#[test_case(&Case { seen: &[(0, Crash(1, &["a", "x"])), (500, Crash(2, &["b", "x"])), (900, Crash(3, &["c", "x"]))], quarantined: &["x"] }; "three crashes")]
#[test_case(&Case { seen: &[(0, Crash(1, &["a", "x"])), (500, Crash(2, &["b", "x"]))], quarantined: &[] }; "two crashes")]
#[test_case(&Case { seen: &[(0, Crash(1, &["x"])), (1, Crash(2, &["x"])), (2, Crash(3, &["x"]))], quarantined: &[] }; "targets that end in the same moment")]
#[test_case(&Case { seen: &[(0, Crash(1, &["x"])), (500, Crash(1, &["x"])), (900, Crash(1, &["x"]))], quarantined: &[] }; "one target")]
#[test_case(&Case { seen: &[(0, Crash(1, &["x"])), (500, Crash(2, &["x"])), (600, Answer(&["x"])), (900, Crash(3, &["x"]))], quarantined: &[] }; "an answer between the crashes")]
#[test_case(&Case { seen: &[(0, Crash(1, &["a", "x"])), (500, Crash(2, &["a", "x"])), (900, Crash(3, &["a", "x"]))], quarantined: &["x"] }; "parts that always come together")]
#[test_case(&Case { seen: &[(0, Crash(1, &["x", "a"])), (500, Crash(2, &["x", "b"])), (900, Crash(3, &["x", "c"]))], quarantined: &["x"] }; "the first part")]
#[test_case(&Case { seen: &[(0, Crash(1, &["x"])), (500, Crash(2, &["x"])), (900, Crash(3, &["x"])), (950, Answer(&["x"]))], quarantined: &[] }; "an answer to a request that was under way")]
#[test_case(&Case { seen: &[(0, Answer(&["x"])), (500, Crash(1, &["x"])), (1_000, Crash(2, &["x"])), (1_500, Crash(3, &["x"]))], quarantined: &[] }; "few crashes of a part that was answered")]
#[test_case(&Case { seen: &[(0, Answer(&["x"])), (500, Crash(1, &["x"])), (1_000, Crash(2, &["x"])), (1_500, Crash(3, &["x"])), (2_000, Crash(4, &["x"])), (2_500, Crash(5, &["x"])), (3_000, Crash(6, &["x"]))], quarantined: &["x"] }; "a part that crashes targets only from some time on")]
#[test_case(&Case { seen: &[(0, Crash(1, &["x"])), (6 * HOUR_MS + 1, Crash(2, &["x"])), (6 * HOUR_MS + 900, Crash(3, &["x"]))], quarantined: &[] }; "crashes that are long ago")]
#[test_case(&Case { seen: &[(0, Crash(1, &["a", "x"])), (HOUR_MS, Crash(2, &["b", "x"])), (2 * HOUR_MS, Crash(3, &["c", "x"]))], quarantined: &["x"] }; "a part that comes once an hour")]
#[test_case(&Case { seen: &[(0, Crash(1, &["a", "x"])), (HOUR_MS, Crash(2, &["a", "x"])), (HOUR_MS + 5, Answer(&["a"])), (2 * HOUR_MS, Crash(3, &["a", "x"]))], quarantined: &["x"] }; "a part that comes once an hour, beside a sound one")]
#[test_case(&Case { seen: &[(0, Crash(1, &["x"])), (HOUR_MS, Crash(2, &["x"])), (HOUR_MS + 5, Answer(&["x"])), (2 * HOUR_MS, Crash(3, &["x"]))], quarantined: &[] }; "a sound part in crashes that are an hour apart")]
fn a_host_quarantines_the_cause_of_crashes(case: &Case) {
    let mut quarantine = Quarantine::new(0);
    let mut now = START;
    for (at_ms, seen) in case.seen {
        now = START.plus_ms(*at_ms);
        match seen {
            Crash(target, ids) => {
                drop(quarantine.record_crash(now, *target, now, CrashStage::Starting, &keys(ids)));
            }
            Answer(ids) => drop(quarantine.record_survival(now, &keys(ids))),
        }
    }
    let mut quarantined: Vec<PartKey> = quarantine
        .in_quarantine(now)
        .map(|entry| entry.part)
        .collect();
    let mut expected = keys(case.quarantined);
    quarantined.sort_unstable();
    expected.sort_unstable();
    assert_eq!(quarantined, expected);
}

/// Returns a host that has put the part `x` into quarantine, and the time.
fn with_quarantined_part(host_hash: u64) -> (Quarantine, MonoMs) {
    let mut quarantine = Quarantine::new(host_hash);
    for target in 1..=3 {
        let now = START.plus_ms(u64::from(target) * 400);
        quarantine.record_crash(now, target, now, CrashStage::Starting, &[key("x")]);
    }
    let now = START.plus_ms(1_200);
    assert!(quarantine.refusal(now, &[key("x")]).is_some());
    (quarantine, now)
}

/// Guards against hosts that all try a part again at the same time, and against further trials after it has crashed a
/// target again.
#[test]
fn a_part_is_tried_again_by_one_host_at_a_time() {
    let (first, start) = with_quarantined_part(0);
    let (mut second, _) = with_quarantined_part(200_000);
    let parts = [key("x")];
    let now = start.plus_ms(QUARANTINE_MS + 1);
    assert!(first.refusal(now, &parts).is_none());
    assert!(second.refusal(now, &parts).is_some());
    let mut first = first;
    let entered = first.record_crash(now, 50, now, CrashStage::Starting, &parts);
    assert_eq!(entered.len(), 1);
    second.merge(now, &first.reports(now));
    let later = start.plus_ms(AFTER_RELEASE_MS);
    assert!(first.refusal(later, &parts).is_some());
    assert!(second.refusal(later, &parts).is_some());
}

/// Guards against a quarantine that comes back by the news of hosts that have not heard of the answer yet.
#[test]
fn an_answer_ends_a_quarantine_on_all_hosts() {
    let (mut first, now) = with_quarantined_part(0);
    let (mut second, _) = with_quarantined_part(0);
    let parts = [key("x")];
    let now = now.plus_ms(100);
    assert_eq!(first.record_survival(now, &parts), parts);
    first.merge(now, &second.reports(now));
    assert!(first.refusal(now, &parts).is_none());
    second.merge(now, &first.reports(now));
    assert!(second.refusal(now, &parts).is_none());
}

/// Guards against an operator's lift that is undone by a host that does not know of it yet, because a target has crashed since.
#[test]
fn a_lift_outlasts_the_reports_of_hosts_that_do_not_know_it() {
    let (other_host, now) = with_quarantined_part(0);
    let mut host = Quarantine::new(1);
    host.merge(now, &other_host.reports(now));
    assert!(host.refusal(now, &keys(&["x"])).is_some());
    let lifted_at = now.plus_ms(1_000);
    assert!(host.lift(lifted_at, key("x")));
    assert!(host.refusal(lifted_at, &keys(&["x"])).is_none());
    let crashed_at = lifted_at.plus_ms(50);
    host.record_crash(
        crashed_at,
        9,
        crashed_at,
        CrashStage::Starting,
        &keys(&["x"]),
    );
    let now = crashed_at.plus_ms(50);
    assert!(host.merge(now, &other_host.reports(now)).is_empty());
    let until = other_host
        .refusal(now, &keys(&["x"]))
        .expect("a refusal")
        .until;
    assert!(host.adopt(now, key("x"), 0, until).is_none());
    assert!(host.refusal(now, &keys(&["x"])).is_none());
    // A quarantine that begins after the lift holds.
    let later = now.plus_ms(QUARANTINE_MS);
    assert!(host.adopt(now, key("x"), 0, later).is_some());
}

/// Guards against a host that ignores a quarantine because it has seen answers from before the part crashed targets.
#[test]
fn earlier_answers_do_not_keep_a_host_from_adopting_a_quarantine() {
    let (first, now) = with_quarantined_part(0);
    let mut second = Quarantine::new(0);
    second.record_survival(START, &[key("x")]);
    second.merge(now, &first.reports(now));
    assert!(second.refusal(now, &[key("x")]).is_some());
    let mut third = Quarantine::new(0);
    third.record_survival(START, &[key("x")]);
    let entered = third.adopt(now, key("x"), 0, now.plus_ms(QUARANTINE_MS));
    assert!(entered.is_some());
    third.merge(now, &second.reports(now));
    assert!(third.refusal(now, &[key("x")]).is_some());
}

/// Guards against a request that goes from one crash to the next because it may be repeated.
#[test]
fn a_request_with_a_suspected_part_is_not_repeated() {
    let mut quarantine = Quarantine::new(0);
    let parts = keys(&["a", "x"]);
    quarantine.record_survival(START, &[key("a")]);
    for (target, may_repeat) in [(1, true), (2, false)] {
        let now = START.plus_ms(u64::from(target) * 400);
        quarantine.record_crash(now, target, now, CrashStage::Starting, &parts);
        assert_eq!(quarantine.may_repeat(now, &parts), may_repeat);
        assert!(quarantine.may_repeat(now, &[key("a")]));
    }
}

/// Guards against records that grow with the number of parts, and against a quarantine that is dropped for want of room.
#[test]
fn the_number_of_records_is_bounded() {
    let (mut quarantine, now) = with_quarantined_part(0);
    for number in 0..5_000_u32 {
        let part = key(&format!("part {number}"));
        quarantine.record_crash(now, 1_000 + number, now, CrashStage::Starting, &[part]);
        quarantine.record_survival(now, &[key(&format!("other {number}"))]);
    }
    assert!(quarantine.refusal(now, &[key("x")]).is_some());
    assert!(quarantine.reports(now).len() <= 20);
    let bytes: usize = quarantine
        .reports(now)
        .iter()
        .map(|report| 16 + report.crashes.len() * 10)
        .sum();
    assert!(bytes < 700, "{bytes} bytes of news");
}

/// Guards against hosts that extend a quarantine for one another, because each ends it at another time.
#[test]
fn hosts_that_end_a_quarantine_later_do_not_extend_it() {
    let (mut first, start) = with_quarantined_part(0);
    let (second, _) = with_quarantined_part(200_000);
    let parts = [key("x")];
    let now = start.plus_ms(QUARANTINE_MS + 1);
    let refusal = second
        .refusal(now, &parts)
        .expect("the second host still refuses");
    first.adopt(now, key("x"), 0, refusal.until);
    assert!(first.refusal(now, &parts).is_none());
}

/// Guards against a lift without effect, because a host learns of it together with the quarantine.
#[test]
fn a_lift_holds_on_a_host_that_learns_of_both_at_once() {
    let mut host = Quarantine::new(0);
    let until = START.plus_ms(QUARANTINE_MS);
    assert!(host.adopt(START, key("x"), 0, until).is_some());
    assert!(host.lift(START, key("x")));
    assert!(host.refusal(START, &[key("x")]).is_none());
    assert!(host.adopt(START, key("x"), 0, until).is_none());
}

/// Guards against a lift that passes the blame on to a part that was in the same crashes.
#[test]
fn a_lift_settles_the_crashes_of_the_part() {
    let parts = keys(&["first", "x"]);
    let mut host = Quarantine::new(0);
    let mut other_host = Quarantine::new(1);
    let mut now = START;
    for target in 1..=3 {
        now = now.plus_ms(400);
        host.record_crash(now, target, now, CrashStage::Starting, &parts);
    }
    other_host.merge(now, &host.reports(now));
    assert_eq!(
        host.refusal(now, &parts).map(|refusal| refusal.part),
        Some(key("x"))
    );
    host.lift(now, key("x"));
    assert!(host.merge(now, &[]).is_empty());
    // The other host does not know of the lift yet.
    assert!(host.merge(now, &other_host.reports(now)).is_empty());
    assert!(host.refusal(now, &parts).is_none());
    // A host that has not seen the crashes itself gets them after the lift.
    let mut late_host = Quarantine::new(2);
    late_host.lift(now, key("x"));
    assert!(late_host.merge(now, &other_host.reports(now)).is_empty());
    assert!(late_host.refusal(now, &parts).is_none());
    // Crashes after the lift count.
    for target in 11..=16 {
        now = now.plus_ms(500);
        host.record_crash(now, target, now, CrashStage::Starting, &parts);
    }
    assert!(host.refusal(now, &parts).is_some());
}

/// Guards against a quarantine that ends because of another host's report, and nobody learns of it.
#[test]
fn a_release_by_a_report_is_returned_once() {
    let (mut first, now) = with_quarantined_part(0);
    let mut second = Quarantine::new(0);
    second.merge(now, &first.reports(now));
    let later = now.plus_ms(300);
    second.record_survival(later, &[key("x")]);
    first.merge(later, &second.reports(later));
    assert_eq!(first.take_released(), [key("x")]);
    assert!(first.take_released().is_empty());
}

/// Guards against a part that crashes targets and passes for sound because the first request with it is kept away.
#[test]
fn a_part_of_a_quarantined_request_is_not_repeated_until_it_is_answered() {
    let mut quarantine = Quarantine::new(0);
    let parts = keys(&["f", "x"]);
    let first = Suspects {
        parts: &parts,
        request: Some(key("the first request")),
    };
    let second = Suspects {
        request: Some(key("the second request")),
        ..first
    };
    let mut now = START;
    for target in 1..=3 {
        now = START.plus_ms(u64::from(target) * 400);
        quarantine.record_crash(now, target, now, CrashStage::Starting, first);
        quarantine.record_survival(now.plus_ms(100), &[key("f")]);
    }
    assert!(quarantine.refusal(now, first).is_some());
    assert!(quarantine.refusal(now, second).is_none());
    assert!(!quarantine.may_repeat(now, second));
    let answered = now.plus_ms(500);
    quarantine.record_completion(answered, second);
    assert!(quarantine.may_repeat(answered, second));
    assert!(quarantine.refusal(answered, first).is_some());
}
