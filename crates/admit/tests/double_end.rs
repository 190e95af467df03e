//! Detection of tickets that end twice. In a test binary of its own because the violation counter is global.

use lw_admit::{Offer, QueueConfig, ServiceQueue, Verdict};
use lw_base::prelude::*;
use lw_base::violation_count;

/// Guards against a ticket whose second end frees the slot of another request.
#[test]
fn ending_a_ticket_twice_is_a_violation_without_effect() {
    let mut queue = ServiceQueue::new(QueueConfig {
        highest_class: PriorityClass::Batch,
        concurrency: 2,
        queue_entries: 10,
        queue_bytes: 1_000,
        max_wait_ms: 1_000,
    });
    let offer = Offer {
        class: PriorityClass::Batch,
        bytes: 1,
        deadline: MonoMs(1_000),
    };
    let Verdict::Start(first) = queue.offer(MonoMs(0), offer) else {
        panic!("the first offer starts");
    };
    queue.finished(MonoMs(1), first);
    let Verdict::Start(_) = queue.offer(MonoMs(1), offer) else {
        panic!("the second offer starts");
    };
    queue.finished(MonoMs(2), first);
    queue.cancel(first);
    queue.refuse(first);
    assert_eq!(violation_count(Invariant::OneOutcome), 3);
    assert_eq!(queue.running(), 1);
}
