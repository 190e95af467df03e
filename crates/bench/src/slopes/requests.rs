//! Measures the memory per queued request and per customer bucket, and the cost of a routing decision.

use lw_admit::{
    CustomerId, CustomerLimits, MAX_TRACKED_CUSTOMERS, Offer, QueueConfig, ServiceQueue, Verdict,
};
use lw_base::{MonoMs, PriorityClass};

use crate::counting_alloc::live_bytes;
use crate::decide::measure_decision_cost;
use crate::slopes::slope::Slope;

const QUEUED: [usize; 3] = [64, 512, 4_096];
/// Number of queued requests at the target size; covers the default limits of all 3 models together.
const QUEUED_TARGET: f64 = 4_096.0;
const CUSTOMERS: [usize; 3] = [128, 1_024, MAX_TRACKED_CUSTOMERS];
const DECISIONS: u32 = 20_000;

pub(crate) fn measure() -> Vec<Slope> {
    let queued = QUEUED.map(|count| (count as f64, queued_bytes(count)));
    let buckets = CUSTOMERS.map(|count| (count as f64, bucket_bytes(count)));
    let decisions: Vec<_> = measure_decision_cost(DECISIONS);
    let decision_ratios = decisions
        .iter()
        .map(|row| (row.targets as f64, row.ratio_to_random));
    let considered = decisions
        .iter()
        .map(|row| (row.targets as f64, row.considered as f64));
    vec![
        Slope::new(
            "admit.queued_bytes",
            "memory per queued request, without its body",
            "bytes",
            "queued requests",
            queued,
            QUEUED_TARGET,
        ),
        Slope::new(
            "admit.bucket_bytes",
            "memory per customer bucket",
            "bytes",
            "active customers",
            buckets,
            MAX_TRACKED_CUSTOMERS as f64,
        ),
        Slope::new(
            "route.considered",
            "targets that a decision looks at, at most",
            "targets",
            "targets of the region",
            considered,
            2_500.0,
        ),
        Slope::new(
            "route.decision_ratio",
            "time of a decision relative to a random choice",
            "ratio",
            "targets of the region",
            decision_ratios,
            2_500.0,
        )
        .timed(),
    ]
}

fn queued_bytes(count: usize) -> f64 {
    let config = QueueConfig {
        highest_class: PriorityClass::Interactive,
        concurrency: 1,
        queue_entries: 1_000_000,
        queue_bytes: u64::MAX,
        max_wait_ms: 600_000,
    };
    let before = live_bytes();
    let mut queue = ServiceQueue::new(config);
    let offer = Offer {
        class: PriorityClass::Interactive,
        bytes: 1,
        deadline: MonoMs(u64::MAX / 2),
    };
    for number in 0..=count {
        let verdict = queue.offer(MonoMs(number as u64), offer);
        assert!(!matches!(verdict, Verdict::Refuse { .. }), "the queue fits");
    }
    let bytes = (live_bytes() - before) as f64 / count as f64;
    drop(queue);
    bytes
}

fn bucket_bytes(count: usize) -> f64 {
    let before = live_bytes();
    let mut limits = CustomerLimits::default();
    for number in 0..count {
        let customer = CustomerId::of_name(&format!("customer-{number:05}"));
        let _ = limits.admit(MonoMs(number as u64), customer, 20.0, 22);
    }
    let bytes = (live_bytes() - before) as f64 / count as f64;
    drop(limits);
    bytes
}
