//! The program notices a ticket that ends twice; apart from other tests because the counter is global.

use lw_admit::{Offer, QueueConfig, ServiceQueue, Verdict};
use lw_base::invariant_count;
use lw_base::prelude::*;

/// Guards against a second end of a ticket that frees the slot of another request.
#[test]
fn a_second_end_is_a_violation_and_changes_nothing() {
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
    assert_eq!(invariant_count(Invariant::OneOutcome), 3);
    assert_eq!(queue.running(), 1);
}
