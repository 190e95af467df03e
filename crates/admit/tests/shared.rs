//! Limits that hosts share without a common counter.

use lw_admit::{LimitSpan, RetryBudgetPolicy, SharedLimit, SharedLimiter, WindowedRetryBudget};
use lw_base::prelude::*;
use test_case::test_case;

struct ColdCase {
    per_s: f64,
    eligible_hosts: usize,
}

// Guards against overloading a cold target, which crashes when all hosts together exceed its limit in any second.
#[test_case(&ColdCase { per_s: 9.75, eligible_hosts: 3 }; "a region of three hosts")]
#[test_case(&ColdCase { per_s: 9.75, eligible_hosts: 13 }; "a region of thirteen hosts")]
#[test_case(&ColdCase { per_s: 1.5, eligible_hosts: 40 }; "a slow target in a large region")]
fn hosts_together_stay_within_the_limit_of_a_cold_target(case: &ColdCase) {
    let limit = SharedLimit {
        per_s: case.per_s,
        span: LimitSpan::EachSecond,
    };
    let mut limiters = vec![SharedLimiter::default(); case.eligible_hosts];
    let mut sent = Vec::new();
    for step in 0..8_000 {
        let now = MonoMs(100_000 + step);
        for (rank, limiter) in limiters.iter_mut().enumerate() {
            let part = limit.part(case.eligible_hosts, rank);
            if let Some(permit) = limiter.try_reserve(now, part) {
                limiter.record_sent(now, permit);
                sent.push(now.0);
            }
        }
    }
    assert!(!sent.is_empty());
    for first in &sent {
        let in_second = sent
            .iter()
            .filter(|at| (*first..first + 1_000).contains(at));
        assert!(in_second.count() as f64 <= case.per_s);
    }
}

struct BudgetCase {
    hosts: usize,
    requests_per_s: u64,
    ratio: f64,
    extra: f64,
}

// Guards against retries that amplify an overload when every host retries as often as its part of the budget allows.
#[test_case(&BudgetCase { hosts: 8, requests_per_s: 40, ratio: 0.2, extra: 54.0 }; "a small deployment")]
#[test_case(&BudgetCase { hosts: 77, requests_per_s: 5, ratio: 0.2, extra: 194.0 }; "a large deployment")]
#[test_case(&BudgetCase { hosts: 8, requests_per_s: 0, ratio: 0.2, extra: 54.0 }; "no requests")]
fn hosts_together_stay_within_the_retry_budget(case: &BudgetCase) {
    let policy = RetryBudgetPolicy {
        ratio: case.ratio,
        extra: case.extra,
        window_ms: 10_000,
        hosts: case.hosts,
    };
    let mut budgets = vec![WindowedRetryBudget::default(); case.hosts];
    let mut retries = Vec::new();
    for step in 0..400_u64 {
        let now = MonoMs(100_000 + step * 100);
        for budget in &mut budgets {
            if case.requests_per_s > 0 && step % (10 / case.requests_per_s.min(10)) == 0 {
                for _ in 0..case.requests_per_s.div_ceil(10) {
                    budget.request(now);
                }
            }
            while budget.try_retry(now, policy) {
                retries.push(now.0);
            }
        }
    }
    let per_window = case.hosts as f64 * (case.requests_per_s * 10) as f64;
    let limit = case.ratio * per_window + case.extra;
    for first in &retries {
        let in_window = retries
            .iter()
            .filter(|at| (*first..first + 10_000).contains(at));
        let count = in_window.count() as f64;
        assert!(count <= limit, "{count} retries, {limit} allowed");
    }
}
