//! Limits per customer and the retry budget.

use lw_admit::{
    CustomerId, CustomerLimits, MAX_REPORTED_CUSTOMERS, MAX_TRACKED_CUSTOMERS, QuantizedRate,
    RetryBudget,
};
use lw_base::prelude::*;
use test_case::test_case;

const LIMIT_PER_S: f64 = 80.0;

/// Plays `seconds` of requests of one customer on hosts that exchange their use each second, and returns how many
/// were admitted in the second half per second. `per_10_ms` is the number of requests each 10 ms by host.
fn admitted_per_s(per_10_ms: &[u32], seconds: u64) -> f64 {
    let customer = CustomerId::of_name("foundry-12");
    let mut hosts: Vec<CustomerLimits> = Vec::new();
    hosts.resize_with(per_10_ms.len(), CustomerLimits::default);
    let mut admitted = 0u32;
    for tick in 0..seconds * 100 {
        let now = MonoMs(tick * 10);
        for (host, requests) in hosts.iter_mut().zip(per_10_ms) {
            for _ in 0..*requests {
                let verdict = host.admit(now, customer, LIMIT_PER_S, per_10_ms.len() as u32);
                admitted += u32::from(verdict.is_ok() && tick >= seconds * 50);
            }
        }
        if tick % 100 == 99 {
            exchange(now, &mut hosts);
        }
    }
    f64::from(admitted) / (seconds as f64 / 2.0)
}

fn exchange(now: MonoMs, hosts: &mut [CustomerLimits]) {
    let mut sent = Vec::new();
    for host in hosts.iter_mut() {
        let mut out = Vec::new();
        host.exchange(now, &mut out);
        assert!(out.len() <= MAX_REPORTED_CUSTOMERS, "{}", out.len());
        sent.push(out);
    }
    for (receiver, host) in hosts.iter_mut().enumerate() {
        for (sender, rates) in sent.iter().enumerate() {
            if sender != receiver {
                host.others(now, sender as u64, rates);
            }
        }
    }
}

/// Guards against a sum over all hosts above 1.5 times the limit, and against a limit that a customer cannot use.
#[test_case(&[2, 2, 2, 2, 2, 2, 2, 2] ; "equal use on eight hosts")]
#[test_case(&[10, 0, 0, 0, 0, 0, 0, 0] ; "use on one host")]
#[test_case(&[8, 1, 1, 0, 0, 0, 0, 1] ; "uneven use")]
fn the_sum_over_hosts_follows_the_limit(per_10_ms: &[u32]) {
    let rate = admitted_per_s(per_10_ms, 20);
    assert!(rate <= 1.5 * LIMIT_PER_S, "{rate} per s");
    assert!(rate >= 0.9 * LIMIT_PER_S, "{rate} per s");
}

/// Guards against a sum above 1.5 times the limit when more customers are over it than one message holds, use moves
/// between hosts, and one host starts late.
#[test]
fn many_customers_stay_within_their_limits() {
    const CUSTOMERS: u64 = 30;
    const HOSTS: u64 = 4;
    const LATE_S: u64 = 20;
    const MOVE_S: u64 = 40;
    let mut hosts: Vec<CustomerLimits> = Vec::new();
    hosts.resize_with(HOSTS as usize, CustomerLimits::default);
    let mut sums = Vec::new();
    for second in 0..60 {
        let mut admitted = [0_u32; CUSTOMERS as usize];
        for tick in 0..100 {
            let now = MonoMs(second * 1_000 + tick * 10);
            for (number, host) in (0..HOSTS).zip(&mut hosts) {
                if number == 0 && second < LATE_S {
                    continue;
                }
                for customer in 0..CUSTOMERS {
                    let busy = (customer + number + u64::from(second >= MOVE_S)) % 2 == 0;
                    let offered = if busy { 2 } else { u64::from(tick % 4 == 0) };
                    for _ in 0..offered {
                        let id = CustomerId::of_name(&format!("customer-{customer}"));
                        let verdict = host.admit(now, id, LIMIT_PER_S, HOSTS as u32);
                        admitted[customer as usize] += u32::from(verdict.is_ok());
                    }
                }
            }
        }
        if second % 2 == 1 {
            let started = if second < LATE_S { 1 } else { 0 };
            exchange(MonoMs(second * 1_000 + 999), &mut hosts[started..]);
        }
        sums.push(admitted);
    }
    for window in sums.windows(5) {
        for customer in 0..CUSTOMERS as usize {
            let sum: u32 = window.iter().map(|second| second[customer]).sum();
            let per_s = f64::from(sum) / 5.0;
            // A bucket holds the tokens of one second besides.
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

/// Guards against shares from rates that the sender and the receivers round differently.
#[test]
fn exchanged_rates_keep_their_code() {
    for code in 0..1 << 14 {
        assert_eq!(
            QuantizedRate::of(QuantizedRate(code).per_s()),
            QuantizedRate(code)
        );
    }
}

/// Guards against hosts that each allow the whole limit to a customer they see for the first time.
#[test]
fn first_contact_stays_below_the_limit() {
    let customer = CustomerId::of_name("riad-3");
    let mut admitted = 0;
    for _ in 0..8 {
        let mut host = CustomerLimits::default();
        for tick in 0..100 {
            let verdict = host.admit(MonoMs(tick * 10), customer, LIMIT_PER_S, 8);
            admitted += u32::from(verdict.is_ok());
        }
    }
    assert!(f64::from(admitted) <= 1.5 * LIMIT_PER_S, "{admitted}");
}

/// Guards against memory that grows with the 38,000 customers of the document.
#[test]
fn buckets_and_exchange_are_bounded() {
    let mut limits = CustomerLimits::default();
    for index in 0..38_000u64 {
        let customer = CustomerId(index.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let _ = limits.admit(MonoMs(index / 10), customer, 1.0, 8);
    }
    assert_eq!(limits.active(), MAX_TRACKED_CUSTOMERS);
    let mut out = Vec::new();
    limits.exchange(MonoMs(4_000), &mut out);
    assert_eq!(out.len(), MAX_REPORTED_CUSTOMERS);
}

/// Guards against a customer that gets a fresh bucket, and with it more than its limit, because 38,000 others pass by.
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
    // Ten seconds at half of the limit, which is the least share of a host whose use was not exchanged yet.
    assert!(admitted <= 51, "{admitted}");
}

/// Guards against a retry storm: with every request failing, retries stay within 10% of the requests.
#[test_case(1_000 ; "100 requests per second")]
#[test_case(10_000 ; "1,000 requests per second")]
fn retries_stay_within_a_tenth_in_an_outage(requests_per_10_s: u64) {
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

/// Guards against a floor that each of many hosts gives out, which together exceed a tenth of the requests.
#[test]
fn hosts_share_the_floor() {
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

/// Guards against a quiet service that may never retry: one retry a second is always allowed, and not more.
#[test]
fn quiet_services_get_one_retry_a_second() {
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
