//! Scheduling order, queue limits and ticket lifecycle.

use lw_admit::{AdmissionTicket, Offer, QueueConfig, ServiceQueue, Verdict};
use lw_base::prelude::*;
use lw_base::violation_count;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const LOOKUP: PriorityClass = PriorityClass::Lookup;
const INTERACTIVE: PriorityClass = PriorityClass::Interactive;
const BATCH: PriorityClass = PriorityClass::Batch;

fn queue(concurrency: u32, entries: u32) -> ServiceQueue {
    ServiceQueue::new(QueueConfig {
        highest_class: LOOKUP,
        concurrency,
        queue_entries: entries,
        queue_bytes: 10_000,
        max_wait_ms: 600_000,
    })
}

fn offer(class: PriorityClass, deadline_ms: u64) -> Offer {
    Offer {
        class,
        bytes: 10,
        deadline: MonoMs(deadline_ms),
    }
}

fn started(verdict: Verdict) -> AdmissionTicket {
    match verdict {
        Verdict::Start(ticket) => ticket,
        other => panic!("expected a start, got {other:?}"),
    }
}

fn queued(verdict: Verdict) -> AdmissionTicket {
    match verdict {
        Verdict::Queued(ticket) => ticket,
        other => panic!("expected a wait, got {other:?}"),
    }
}

/// Guards against lookups that wait behind long requests although slots are reserved for them.
#[test]
fn lookups_start_in_reserved_slots() {
    let mut queue = queue(10, 100);
    let now = MonoMs(0);
    for _ in 0..8 {
        started(queue.offer(now, offer(BATCH, 600_000)));
    }
    queued(queue.offer(now, offer(BATCH, 600_000)));
    queued(queue.offer(now, offer(INTERACTIVE, 60_000)));
    started(queue.offer(now, offer(LOOKUP, 1_000)));
    started(queue.offer(now, offer(LOOKUP, 1_000)));
    queued(queue.offer(now, offer(LOOKUP, 1_000)));
}

/// Guards against reserved slots in services that receive no lookups, which would leave a fifth of their engines
/// unused.
#[test_case(LOOKUP, 8 ; "lookup service reserves a fifth")]
#[test_case(INTERACTIVE, 10 ; "interactive service uses all slots")]
#[test_case(BATCH, 10 ; "batch service uses all slots")]
fn only_lookup_services_reserve_slots(highest_class: PriorityClass, expected: usize) {
    let mut queue = queue(10, 100);
    queue.set_config(QueueConfig {
        highest_class,
        concurrency: 10,
        queue_entries: 100,
        queue_bytes: 10_000,
        max_wait_ms: 600_000,
    });
    let starts = (0..20)
        .map(|_| queue.offer(MonoMs(0), offer(BATCH, 600_000)))
        .filter(|verdict| matches!(verdict, Verdict::Start(_)))
        .count();
    assert_eq!(starts, expected);
}

/// Guards against starvation of batch requests: they get 5% of the starts under constant interactive load.
#[test]
fn batch_gets_its_share_under_constant_interactive_load() {
    let mut queue = queue(1, 10_000);
    let now = MonoMs(0);
    let mut running = started(queue.offer(now, offer(INTERACTIVE, 600_000)));
    let batch: Vec<_> = (0..50)
        .map(|_| queued(queue.offer(now, offer(BATCH, 600_000))))
        .collect();
    let mut batch_starts = 0;
    for _ in 0..1_000 {
        queue.offer(now, offer(INTERACTIVE, 600_000));
        queue.finished(now, running);
        let mut out = Vec::new();
        queue.next_starts(now, &mut out);
        assert_eq!(out.len(), 1);
        running = out[0];
        batch_starts += usize::from(batch.contains(&running));
    }
    assert_eq!(batch_starts, 50);
}

/// Guards against starvation of lower classes: a batch request that arrived over a minute before a lookup starts first.
#[test]
fn older_requests_start_before_newer_ones_of_a_higher_class() {
    let mut queue = queue(1, 100);
    let running = started(queue.offer(MonoMs(0), offer(LOOKUP, 600_000)));
    let batch = queued(queue.offer(MonoMs(0), offer(BATCH, 600_000)));
    let interactive = queued(queue.offer(MonoMs(51_000), offer(INTERACTIVE, 600_000)));
    let lookup = queued(queue.offer(MonoMs(59_000), offer(LOOKUP, 600_000)));
    let late_lookup = queued(queue.offer(MonoMs(62_000), offer(LOOKUP, 600_000)));
    queue.finished(MonoMs(62_000), running);
    let mut out = Vec::new();
    for expected in [lookup, batch, interactive, late_lookup] {
        out.clear();
        queue.next_starts(MonoMs(62_000), &mut out);
        assert_eq!(out, [expected]);
        queue.finished(MonoMs(62_000), expected);
    }
}

/// Guards against unbounded queues, and against lower classes that fill the queue entries of higher classes.
#[test]
fn queues_are_bounded_by_entries_and_bytes() {
    let mut queue = queue(1, 10);
    let now = MonoMs(0);
    started(queue.offer(now, offer(BATCH, 600_000)));
    let mut waiting = [0; 3];
    for class in [BATCH, INTERACTIVE, LOOKUP] {
        for _ in 0..20 {
            let verdict = queue.offer(now, offer(class, 600_000));
            waiting[class.index()] += usize::from(matches!(verdict, Verdict::Queued(_)));
        }
    }
    assert_eq!(waiting, [2, 2, 6]);
    let big = Offer {
        bytes: 20_000,
        ..offer(LOOKUP, 600_000)
    };
    assert!(matches!(
        queue.offer(now, big),
        Verdict::Refuse {
            kind: ErrorKind::QueueFull,
            retry_after_ms: 1_000..=60_000
        }
    ));
}

/// Guards against queueing a request that cannot start before its deadline.
#[test]
fn unreachable_deadlines_are_rejected_immediately() {
    let mut queue = queue(1, 100);
    let first = started(queue.offer(MonoMs(0), offer(INTERACTIVE, 100_000)));
    queue.finished(MonoMs(4_000), first);
    started(queue.offer(MonoMs(4_000), offer(INTERACTIVE, 100_000)));
    queued(queue.offer(MonoMs(4_000), offer(INTERACTIVE, 100_000)));
    let verdict = queue.offer(MonoMs(4_000), offer(INTERACTIVE, 8_000));
    let Verdict::Refuse {
        kind,
        retry_after_ms,
    } = verdict
    else {
        panic!("expected a refusal, got {verdict:?}");
    };
    assert_eq!(kind, ErrorKind::DeadlineUnreachable);
    assert_eq!(retry_after_ms, 4_000);
}

/// Guards against requests that stay in the queue after their deadline or start after it.
#[test]
fn queued_requests_expire_at_their_deadline() {
    let mut queue = queue(1, 100);
    let running = started(queue.offer(MonoMs(0), offer(BATCH, 600_000)));
    let short = queued(queue.offer(MonoMs(0), offer(BATCH, 50)));
    let long = queued(queue.offer(MonoMs(0), offer(BATCH, 600_000)));
    assert_eq!(queue.next_deadline(), Some(MonoMs(50)));
    queue.finished(MonoMs(50), running);
    let mut out = Vec::new();
    queue.next_starts(MonoMs(50), &mut out);
    assert_eq!(out, [long]);
    out.clear();
    queue.expire(MonoMs(50), &mut out);
    assert_eq!(out, [short]);
    assert_eq!(queue.waiting(), 0);
    assert_eq!(queue.waiting_bytes(), 0);
}

/// Guards against tickets that are lost or end twice, in a seeded random run.
#[test]
fn every_ticket_ends_exactly_once() {
    const SEED: u64 = 20_261_203;
    println!("seed {SEED}");
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut queue = queue(6, 40);
    let mut running: Vec<AdmissionTicket> = Vec::new();
    let mut waiting: FastSet<AdmissionTicket> = FastSet::default();
    let before = violation_count(Invariant::OneOutcome);
    let mut out = Vec::new();
    for step in 0..50_000u64 {
        let now = MonoMs(step * 7);
        match rng.random_range(0..10) {
            0..=4 => {
                let class = PriorityClass::ALL[rng.random_range(0..3)];
                let deadline_ms = now.0 + rng.random_range(1..3_000);
                match queue.offer(now, offer(class, deadline_ms)) {
                    Verdict::Start(ticket) => running.push(ticket),
                    Verdict::Queued(ticket) => assert!(waiting.insert(ticket)),
                    Verdict::Refuse { .. } => {}
                }
            }
            5..=8 if !running.is_empty() => {
                let ticket = running.swap_remove(rng.random_range(0..running.len()));
                queue.finished(now, ticket);
            }
            _ => {
                if let Some(ticket) = waiting.iter().next().copied() {
                    waiting.remove(&ticket);
                    queue.cancel(ticket);
                }
            }
        }
        out.clear();
        queue.next_starts(now, &mut out);
        for ticket in &out {
            assert!(waiting.remove(ticket), "started without waiting");
            running.push(*ticket);
        }
        out.clear();
        queue.expire(now, &mut out);
        for ticket in &out {
            assert!(waiting.remove(ticket), "expired without waiting");
        }
        assert_eq!(queue.waiting(), waiting.len());
        assert_eq!(queue.running() as usize, running.len());
    }
    assert_eq!(violation_count(Invariant::OneOutcome), before);
    let counts = queue.counts();
    assert_eq!(counts.ended() + waiting.len() as u64, counts.offered);
    assert!(counts.expired > 100 && counts.cancelled > 100 && counts.rejected_immediately > 100);
}
