//! Requests to cold targets.

use lw_admit::{ColdStartLimiter, ColdStartQuota};
use lw_base::prelude::*;
use test_case::test_case;

struct Case {
    per_s: f64,
    hosts: usize,
    has_remaining_part: bool,
    /// The requests that one host sends in 20 s if it tries every 10 ms.
    sent: std::ops::RangeInclusive<usize>,
}

// Guards against a target that never gets a request while it is cold, because a rate below one per second was rounded down
// to zero, and against a rate that is exceeded.
#[test_case(&Case { per_s: 4.0, hosts: 2, has_remaining_part: false, sent: 32..=40 }; "two requests per second")]
#[test_case(&Case { per_s: 1.0, hosts: 1, has_remaining_part: false, sent: 16..=20 }; "one request per second")]
#[test_case(&Case { per_s: 0.5, hosts: 1, has_remaining_part: false, sent: 8..=10 }; "one request in two seconds")]
#[test_case(&Case { per_s: 1.0, hosts: 4, has_remaining_part: false, sent: 4..=5 }; "a quarter of one request per second")]
#[test_case(&Case { per_s: 5.0, hosts: 2, has_remaining_part: true, sent: 48..=60 }; "three of five requests per second")]
#[test_case(&Case { per_s: 0.0, hosts: 1, has_remaining_part: false, sent: 0..=0 }; "no requests")]
fn a_host_sends_its_part_of_the_rate(case: &Case) {
    let quota = ColdStartQuota {
        per_s: case.per_s,
        hosts: case.hosts,
        has_remaining_part: case.has_remaining_part,
    };
    let mut limiter = ColdStartLimiter::default();
    let sent = (0..2_000)
        .filter(|step| {
            let now = MonoMs(50_000 + step * 10);
            let is_allowed = limiter.try_reserve(now, quota);
            if is_allowed {
                limiter.record_sent(now);
            }
            is_allowed
        })
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
    let quota = ColdStartQuota {
        per_s: 4.0,
        hosts: 2,
        has_remaining_part: false,
    };
    let start = MonoMs(50_000);
    let mut limiter = ColdStartLimiter::default();
    assert!(limiter.try_reserve(start, quota) && limiter.try_reserve(start, quota));
    let sent_at = start.plus_ms(case.first_wait_ms);
    assert!(
        !limiter.try_reserve(sent_at, quota),
        "the quota is reserved"
    );
    for index in 0..2 {
        match index < case.cancelled {
            true => limiter.cancel(),
            false => limiter.record_sent(sent_at),
        }
    }
    let later_ms = [0, 400, 800, 1_100];
    let allowed = later_ms.iter().filter(|later_ms| {
        let now = sent_at.plus_ms(**later_ms);
        let is_allowed = limiter.try_reserve(now, quota);
        if is_allowed {
            limiter.record_sent(now);
        }
        is_allowed
    });
    assert_eq!(allowed.count(), case.follow);
}

/// Guards against a host that learns late that a target has turned cold, and then sends its whole part on top of what it
/// has sent in the same second.
#[test]
fn requests_to_a_target_that_counted_as_warm_use_up_the_part() {
    let quota = ColdStartQuota {
        per_s: 4.0,
        hosts: 2,
        has_remaining_part: false,
    };
    let start = MonoMs(50_000);
    let mut limiter = ColdStartLimiter::default();
    for sent_ms in [0, 300, 600, 900] {
        limiter.record_unlimited(start.plus_ms(sent_ms));
    }
    let allowed: Vec<u64> = (900..2_600)
        .step_by(100)
        .filter(|at_ms| {
            let now = start.plus_ms(*at_ms);
            let is_allowed = limiter.try_reserve(now, quota);
            if is_allowed {
                limiter.record_sent(now);
            }
            is_allowed
        })
        .collect();
    assert_eq!(allowed, [1_800, 2_100]);
}
