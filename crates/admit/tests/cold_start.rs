//! Requests to cold targets.

use lw_admit::{ColdStartLimiter, ColdStartQuota};
use lw_base::prelude::*;
use test_case::test_case;

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
#[test_case(&Case { per_s: 1.0, hosts: 4, sent: 4..=5 }; "a quarter of one request per second")]
#[test_case(&Case { per_s: 0.0, hosts: 1, sent: 0..=0 }; "no requests")]
fn a_host_sends_its_part_of_the_rate(case: &Case) {
    let quota = ColdStartQuota {
        per_s: case.per_s,
        hosts: case.hosts,
    };
    let mut limiter = ColdStartLimiter::default();
    let sent = (0..2_000)
        .filter(|step| limiter.try_send(MonoMs(50_000 + step * 10), quota))
        .count();
    assert!(case.sent.contains(&sent), "{sent} requests");
}
