//! Customer rate limits and the retry budget of one host.

use lw_admit::{
    CustomerId, CustomerLimits, MAX_REPORTED_CUSTOMERS, MAX_TRACKED_CUSTOMERS, QuantizedRate,
    RetryBudget,
};
use lw_base::prelude::*;
use test_case::test_case;

const LIMIT_PER_S: f64 = 80.0;

/// Simulates one customer on hosts that exchange usage reports every second, and returns the admitted requests per
/// second over the second half of `seconds`. `per_10_ms` is the number of requests per 10 ms on each host.
fn admitted_per_s(per_10_ms: &[u32], seconds: u64) -> f64 {
    let customer = CustomerId::of_name("foundry-12");
    let mut hosts: Vec<CustomerLimits> = Vec::new();
    hosts.resize_with(per_10_ms.len(), CustomerLimits::default);
    let mut admitted = 0u32;
    for tick in 0..seconds * 100 {
        let now = MonoMs(tick * 10);
        for (host, requests) in hosts.iter_mut().zip(per_10_ms) {
            for _ in 0..*requests {
                let result = host.admit(now, customer, LIMIT_PER_S, per_10_ms.len() as u32);
                admitted += u32::from(result.is_ok() && tick >= seconds * 50);
            }
        }
        if tick % 100 == 99 {
            exchange_reports(now, &mut hosts);
        }
    }
    f64::from(admitted) / (seconds as f64 / 2.0)
}

fn exchange_reports(now: MonoMs, hosts: &mut [CustomerLimits]) {
    let mut sent = Vec::new();
    for host in hosts.iter_mut() {
        let mut out = Vec::new();
        host.take_usage_report(now, &mut out);
        assert!(out.len() <= MAX_REPORTED_CUSTOMERS, "{}", out.len());
        sent.push(out);
    }
    for (receiver, host) in hosts.iter_mut().enumerate() {
        for (sender, rates) in sent.iter().enumerate() {
            if sender != receiver {
                host.record_remote_usage(now, sender as u64, rates);
            }
        }
    }
}

/// Guards against admitting more than 1.5 times the limit over all hosts, or less than 90% of it.
#[test_case(&[2, 2, 2, 2, 2, 2, 2, 2] ; "equal load on eight hosts")]
#[test_case(&[10, 0, 0, 0, 0, 0, 0, 0] ; "load on one host")]
#[test_case(&[8, 1, 1, 0, 0, 0, 0, 1] ; "uneven load")]
fn admitted_rate_over_all_hosts_follows_the_limit(per_10_ms: &[u32]) {
    let rate = admitted_per_s(per_10_ms, 20);
    assert!(rate <= 1.5 * LIMIT_PER_S, "{rate} per s");
    assert!(rate >= 0.9 * LIMIT_PER_S, "{rate} per s");
}

/// Guards against admitting more than 1.5 times the limit when more customers exceed it than one report holds, load
/// moves between hosts, and one host starts late.
#[test]
fn many_customers_stay_within_their_limits() {
    const CUSTOMERS: u64 = 30;
    const HOSTS: u64 = 4;
    const LATE_START_S: u64 = 20;
    const LOAD_MOVE_S: u64 = 40;
    let mut hosts: Vec<CustomerLimits> = Vec::new();
    hosts.resize_with(HOSTS as usize, CustomerLimits::default);
    let mut sums = Vec::new();
    for second in 0..60 {
        let mut admitted = [0_u32; CUSTOMERS as usize];
        for tick in 0..100 {
            let now = MonoMs(second * 1_000 + tick * 10);
            for (number, host) in (0..HOSTS).zip(&mut hosts) {
                if number == 0 && second < LATE_START_S {
                    continue;
                }
                for customer in 0..CUSTOMERS {
                    let busy = (customer + number + u64::from(second >= LOAD_MOVE_S)) % 2 == 0;
                    let offered = if busy { 2 } else { u64::from(tick % 4 == 0) };
                    for _ in 0..offered {
                        let id = CustomerId::of_name(&format!("customer-{customer}"));
                        let result = host.admit(now, id, LIMIT_PER_S, HOSTS as u32);
                        admitted[customer as usize] += u32::from(result.is_ok());
                    }
                }
            }
        }
        if second % 2 == 1 {
            let started = if second < LATE_START_S { 1 } else { 0 };
            exchange_reports(MonoMs(second * 1_000 + 999), &mut hosts[started..]);
        }
        sums.push(admitted);
    }
    for window in sums.windows(5) {
        for customer in 0..CUSTOMERS as usize {
            let sum: u32 = window.iter().map(|second| second[customer]).sum();
            let per_s = f64::from(sum) / 5.0;
            // The factor 1.2 allows for the tokens of one second in a full bucket.
            assert!(
                per_s <= 1.5 * LIMIT_PER_S * 1.2,
                "{customer}: {per_s} per s"
            );
        }
    }
    for steady in [36..40, 56..60] {
        for customer in 0..CUSTOMERS as usize {
            let sum: u32 = sums[steady.clone()]
                .iter()
                .map(|second| second[customer])
                .sum();
            let per_s = f64::from(sum) / 4.0;
            assert!(per_s <= 1.5 * LIMIT_PER_S, "{customer}: {per_s} per s");
            assert!(per_s >= 0.9 * LIMIT_PER_S, "{customer}: {per_s} per s");
        }
    }
}

/// Guards against rates that the sender and the receivers round differently, which would distort the shares.
#[test]
fn quantized_rates_round_trip() {
    for code in 0..1 << 14 {
        assert_eq!(
            QuantizedRate::of(QuantizedRate(code).per_s()),
            QuantizedRate(code)
        );
    }
}

/// Guards against each host granting the whole limit to a customer that is new to it.
#[test]
fn new_customer_stays_below_the_limit_on_all_hosts() {
    let customer = CustomerId::of_name("riad-3");
    let mut admitted = 0;
    for _ in 0..8 {
        let mut host = CustomerLimits::default();
        for tick in 0..100 {
            let result = host.admit(MonoMs(tick * 10), customer, LIMIT_PER_S, 8);
            admitted += u32::from(result.is_ok());
        }
    }
    assert!(f64::from(admitted) <= 1.5 * LIMIT_PER_S, "{admitted}");
}

/// Guards against memory use and reports that grow with the 38,000 customers of the document.
#[test]
fn buckets_and_reports_are_bounded() {
    let mut limits = CustomerLimits::default();
    for index in 0..38_000u64 {
        let customer = CustomerId(index.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let _ = limits.admit(MonoMs(index / 10), customer, 1.0, 8);
    }
    assert_eq!(limits.active(), MAX_TRACKED_CUSTOMERS);
    let mut out = Vec::new();
    limits.take_usage_report(MonoMs(4_000), &mut out);
    assert_eq!(out.len(), MAX_REPORTED_CUSTOMERS);
}

/// Guards against evicting the bucket of a busy customer while 38,000 others send requests: a new bucket would let it
/// exceed its limit.
#[test]
fn a_busy_customer_keeps_its_bucket() {
    let busy = CustomerId::of_name("busy");
    let mut limits = CustomerLimits::default();
    let mut admitted = 0;
    for index in 0..100_000u64 {
        let now = MonoMs(index / 10);
        let other = CustomerId::of_name(&format!("customer-{}", index % 38_000));
        let _ = limits.admit(now, other, 1.0, 1);
        if index % 10 == 0 {
            admitted += u32::from(limits.admit(now, busy, 10.0, 1).is_ok());
        }
    }
    // Ten seconds at half of the limit, the minimum rate of a host that has not reported its usage yet.
    assert!(admitted <= 51, "{admitted}");
}

/// Guards against a retry storm: when every request fails, retries stay within 10% of the requests.
#[test_case(1_000 ; "100 requests per second")]
#[test_case(10_000 ; "1,000 requests per second")]
fn retries_stay_within_a_tenth_of_requests_in_an_outage(requests_per_10_s: u64) {
    let mut budget = RetryBudget::new(1);
    let mut retries = 0u64;
    let step_us = 10_000_000 / requests_per_10_s;
    for index in 0..requests_per_10_s * 6 {
        let now = MonoMs(index * step_us / 1_000);
        budget.request(now);
        for _ in 0..3 {
            retries += u64::from(budget.try_retry(now));
        }
    }
    assert!(retries * 10 <= requests_per_10_s * 6, "{retries}");
    assert!(retries * 10 >= requests_per_10_s * 5, "{retries}");
}

/// Guards against hosts that each grant the minimum number of retries and together exceed 10% of the requests.
#[test]
fn hosts_share_the_minimum_retries() {
    let mut retries = 0u64;
    for _ in 0..5 {
        let mut budget = RetryBudget::new(5);
        for index in 0..400u64 {
            let now = MonoMs(index * 250);
            budget.request(now);
            for _ in 0..3 {
                retries += u64::from(budget.try_retry(now));
            }
        }
    }
    assert!(retries * 10 <= 5 * 400, "{retries}");
}

/// Guards against a service with few requests that may never retry: exactly one retry per second is allowed.
#[test]
fn services_with_few_requests_get_one_retry_per_second() {
    let mut budget = RetryBudget::new(1);
    let mut retries = 0;
    for second in 0..30 {
        budget.request(MonoMs(second * 1_000));
        for _ in 0..3 {
            retries += u32::from(budget.try_retry(MonoMs(second * 1_000)));
        }
    }
    assert_eq!(retries, 30);
}
