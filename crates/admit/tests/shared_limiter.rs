//! One host's use of a shared limit: requests to cold targets, and loans.

use lw_admit::{LimitPart, LimitSpan, Permit, SharedLimit, SharedLimiter};
use lw_base::prelude::*;
use test_case::test_case;

/// Returns the largest part of a limit in each second.
fn cold_part(per_s: f64, hosts: usize) -> Option<LimitPart> {
    let limit = SharedLimit {
        per_s,
        span: LimitSpan::EachSecond,
    };
    limit.part(hosts, 0)
}

/// Sends a request if the limiter allows it.
fn try_send(limiter: &mut SharedLimiter, now: MonoMs, part: Option<LimitPart>) -> bool {
    let permit = limiter.try_reserve(now, part);
    if let Some(permit) = permit {
        limiter.record_sent(now, permit);
    }
    permit.is_some()
}

struct Case {
    per_s: f64,
    hosts: usize,
    /// The requests that one host sends in 20 s if it tries every 10 ms.
    sent: std::ops::RangeInclusive<usize>,
}

// Guards against a target that never gets a request while it is cold, because a rate below one per second was rounded down
// to zero, and against a rate that is exceeded.
#[test_case(&Case { per_s: 4.0, hosts: 2, sent: 32..=40 }; "two requests per second")]
#[test_case(&Case { per_s: 1.0, hosts: 1, sent: 16..=20 }; "one request per second")]
#[test_case(&Case { per_s: 0.5, hosts: 1, sent: 8..=10 }; "one request in two seconds")]
#[test_case(&Case { per_s: 0.25, hosts: 4, sent: 4..=5 }; "a quarter of one request per second")]
#[test_case(&Case { per_s: 5.0, hosts: 2, sent: 48..=60 }; "three of five requests per second")]
#[test_case(&Case { per_s: 0.0, hosts: 1, sent: 0..=0 }; "no requests")]
fn a_host_sends_its_part_of_the_rate(case: &Case) {
    let part = cold_part(case.per_s, case.hosts);
    let mut limiter = SharedLimiter::default();
    let sent = (0..2_000)
        .filter(|step| try_send(&mut limiter, MonoMs(50_000 + step * 10), part))
        .count();
    assert!(case.sent.contains(&sent), "{sent} requests");
}

struct WaitCase {
    /// How long the first requests wait for a connection.
    first_wait_ms: u64,
    /// Requests that are cancelled instead.
    cancelled: usize,
    /// The requests that follow at once after the first ones were sent or cancelled.
    follow: usize,
}

// Guards against requests of two windows that arrive within one second, because the first ones waited for a connection.
#[test_case(&WaitCase { first_wait_ms: 0, cancelled: 0, follow: 0 }; "sent at once")]
#[test_case(&WaitCase { first_wait_ms: 350, cancelled: 0, follow: 0 }; "a slow connection")]
#[test_case(&WaitCase { first_wait_ms: 4_000, cancelled: 0, follow: 0 }; "a suspended host")]
#[test_case(&WaitCase { first_wait_ms: 350, cancelled: 2, follow: 2 }; "a failed connection uses nothing")]
fn a_waiting_request_counts_when_it_is_sent(case: &WaitCase) {
    let part = cold_part(4.0, 2);
    let start = MonoMs(50_000);
    let mut limiter = SharedLimiter::default();
    let reserved = [(); 2].map(|()| limiter.try_reserve(start, part));
    assert_eq!(reserved, [Some(Permit::Own); 2]);
    let sent_at = start.plus_ms(case.first_wait_ms);
    assert_eq!(
        limiter.try_reserve(sent_at, part),
        None,
        "the part is reserved"
    );
    for index in 0..2 {
        match index < case.cancelled {
            true => limiter.cancel(Permit::Own),
            false => limiter.record_sent(sent_at, Permit::Own),
        }
    }
    let later_ms = [0, 400, 800, 1_100];
    let allowed = later_ms
        .iter()
        .filter(|later_ms| try_send(&mut limiter, sent_at.plus_ms(**later_ms), part));
    assert_eq!(allowed.count(), case.follow);
}

/// Guards against a host that learns late that a target has turned cold, and then sends its whole part on top of what it
/// has sent in the same second.
#[test]
fn requests_to_a_target_that_counted_as_warm_use_up_the_part() {
    let part = cold_part(4.0, 2);
    let start = MonoMs(50_000);
    let mut limiter = SharedLimiter::default();
    for sent_ms in [0, 300, 600, 900] {
        limiter.record_unlimited(start.plus_ms(sent_ms));
    }
    let allowed: Vec<u64> = (900..2_600)
        .step_by(100)
        .filter(|at_ms| try_send(&mut limiter, start.plus_ms(*at_ms), part))
        .collect();
    assert_eq!(allowed, [1_800, 2_100]);
}

const START: MonoMs = MonoMs(50_000);
const PART: LimitPart = LimitPart {
    requests: 2,
    window_ms: 1_000,
};

/// One step of a case: what happens at a time in milliseconds after [`START`].
#[derive(Clone, Copy)]
enum Step {
    /// A request is sent if it is allowed.
    Send { is_allowed: bool },
    /// A request is reserved and given back.
    Cancel,
    /// A request is sent whether or not it is allowed.
    Force,
    /// Another host lends requests.
    Borrow(usize),
    /// This host lends at a rate, in requests per second, and lends this number.
    Lend { per_s: f64, lent: usize },
}

struct LoanCase {
    part: Option<LimitPart>,
    steps: &'static [(u64, Step)],
}

const SENT: Step = Step::Send { is_allowed: true };
const REFUSED: Step = Step::Send { is_allowed: false };

// Guards against a request that two hosts send, and against a loan that is sent long after it was given.
#[test_case(&LoanCase { part: None, steps: &[(0, REFUSED)] }; "no part")]
#[test_case(&LoanCase { part: None, steps: &[(0, Step::Borrow(2)), (0, SENT), (0, SENT), (0, REFUSED)] }; "a loan is used once")]
#[test_case(&LoanCase { part: None, steps: &[(0, Step::Borrow(1)), (600, SENT)] }; "a loan is used in time")]
#[test_case(&LoanCase { part: None, steps: &[(0, Step::Borrow(1)), (601, REFUSED)] }; "a loan ends")]
#[test_case(&LoanCase { part: None, steps: &[(0, Step::Borrow(1)), (0, Step::Cancel), (0, SENT), (0, REFUSED)] }; "a loan that is given back")]
#[test_case(&LoanCase { part: None, steps: &[(0, Step::Borrow(1)), (0, Step::Force), (0, REFUSED)] }; "a forced request uses up a loan")]
#[test_case(&LoanCase { part: Some(PART), steps: &[(0, Step::Borrow(1)), (0, SENT), (0, SENT), (0, SENT), (0, REFUSED)] }; "a loan besides the part")]
#[test_case(&LoanCase { part: Some(PART), steps: &[(0, SENT), (0, SENT), (999, REFUSED), (1_000, SENT)] }; "the part")]
#[test_case(&LoanCase { part: Some(PART), steps: &[(0, SENT), (0, SENT), (0, Step::Force), (1_000, SENT), (1_000, REFUSED), (2_000, SENT)] }; "a forced request uses up the next one")]
#[test_case(&LoanCase { part: Some(PART), steps: &[(0, Step::Lend { per_s: 10.0, lent: 0 }), (400, Step::Lend { per_s: 10.0, lent: 2 }), (400, REFUSED)] }; "lent requests count as sent")]
#[test_case(&LoanCase { part: Some(PART), steps: &[(0, Step::Lend { per_s: 2.5, lent: 0 }), (400, SENT), (400, REFUSED), (400, Step::Lend { per_s: 2.5, lent: 1 })] }; "a host keeps what it is about to lend")]
#[test_case(&LoanCase { part: Some(PART), steps: &[(0, Step::Lend { per_s: 1.0, lent: 0 }), (400, Step::Lend { per_s: 0.0, lent: 0 }), (400, SENT), (400, SENT)] }; "lending ends")]
#[test_case(&LoanCase { part: Some(PART), steps: &[(0, SENT), (0, SENT), (0, Step::Lend { per_s: 10.0, lent: 0 }), (900, Step::Lend { per_s: 10.0, lent: 0 })] }; "nothing is left to lend")]
fn loans_count_for_the_lender(case: &LoanCase) {
    let mut limiter = SharedLimiter::default();
    for (index, (at_ms, step)) in case.steps.iter().enumerate() {
        let now = START.plus_ms(*at_ms);
        match *step {
            Step::Send { is_allowed } => {
                assert_eq!(limiter.may_send(now, case.part), is_allowed, "step {index}");
                let is_sent = try_send(&mut limiter, now, case.part);
                assert_eq!(is_sent, is_allowed, "step {index}");
            }
            Step::Cancel => {
                let permit = limiter.try_reserve(now, case.part);
                limiter.cancel(permit.expect("a request that is allowed"));
            }
            Step::Force => limiter.record_forced(now, case.part),
            Step::Borrow(requests) => limiter.borrow(now, requests),
            Step::Lend { per_s, lent } => {
                limiter.set_lending(now, case.part, per_s);
                let part = case.part.expect("a host that lends has a part");
                assert_eq!(limiter.lend(now, part), lent, "step {index}");
            }
        }
    }
}

struct PartCase {
    per_s: f64,
    hosts: usize,
    holders: usize,
}

// Guards against parts that sum to another rate than the limit, and against limits below one that nobody may use.
#[test_case(&PartCase { per_s: 8.9, hosts: 4, holders: 4 }; "a decimal number")]
#[test_case(&PartCase { per_s: 8.9, hosts: 100, holders: 4 }; "many hosts")]
#[test_case(&PartCase { per_s: 8.9, hosts: 2, holders: 2 }; "two hosts")]
#[test_case(&PartCase { per_s: 8.9, hosts: 1, holders: 1 }; "one host")]
#[test_case(&PartCase { per_s: 1.2, hosts: 8, holders: 3 }; "fewer requests than hosts")]
#[test_case(&PartCase { per_s: 0.1, hosts: 8, holders: 2 }; "less than one request")]
#[test_case(&PartCase { per_s: 5_000.0, hosts: 8, holders: 4 }; "thousands of requests")]
fn parts_of_an_average_sum_to_the_limit(case: &PartCase) {
    let limit = SharedLimit {
        per_s: case.per_s,
        span: LimitSpan::Average,
    };
    assert_eq!(limit.holders(case.hosts), case.holders);
    let parts: Vec<LimitPart> = (0..case.hosts)
        .filter_map(|rank| limit.part(case.hosts, rank))
        .collect();
    assert_eq!(parts.len(), case.holders);
    let sum_per_s: f64 = parts.iter().map(LimitPart::per_s).sum();
    assert!((sum_per_s / case.per_s - 1.0).abs() < 0.01, "{sum_per_s}");
}
