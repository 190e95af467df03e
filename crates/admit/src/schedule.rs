//! Which request starts next, and which is rejected at once.

use lw_base::prelude::*;

use crate::class_queue::ClassQueue;
use crate::offer::{Offer, Verdict};
use crate::service_queue::ServiceQueue;
use crate::ticket::Ticket;

/// A waiting request counts as this much older than a request of the class above per class.
///
/// A batch request overtakes lookups that arrived a minute after it, so no class waits without bound.
const AGEING_HEAD_START_MS: [u64; 3] = [0, 10_000, 60_000];
/// While batch requests wait, one start in this many is a batch start (5%).
const STARTS_PER_BATCH_START: u32 = 20;
/// Bounds of `Retry-After`.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 1_000..=60_000;

impl ServiceQueue {
    pub(crate) fn refusal(&self, now: MonoMs, offer: &Offer) -> Option<Verdict> {
        let wait_ms = self.expected_wait_ms(offer.class);
        let left_ms = offer.deadline.since_ms(now);
        if left_ms == 0 || wait_ms > left_ms as f64 {
            let retry_after_ms = bounded_retry_after_ms(wait_ms - left_ms as f64);
            return Some(Verdict::Refuse {
                kind: ErrorKind::DeadlineUnreachable,
                retry_after_ms,
            });
        }
        if self.starts_at_once(offer.class) || self.fits(offer) {
            return None;
        }
        Some(Verdict::Refuse {
            kind: ErrorKind::QueueFull,
            retry_after_ms: bounded_retry_after_ms(wait_ms),
        })
    }

    fn fits(&self, offer: &Offer) -> bool {
        let entries = self.config.entries_for(offer.class) as usize;
        let bytes = self.waiting_bytes.saturating_add(offer.bytes);
        self.waiting() < entries && bytes <= self.config.queue_bytes
    }

    pub(crate) fn starts_at_once(&self, class: PriorityClass) -> bool {
        self.slot_free(class) && self.waiting_up_to(class) == 0 && !self.batch_is_due(class)
    }

    fn batch_is_due(&self, class: PriorityClass) -> bool {
        class != PriorityClass::Batch
            && self.queues[PriorityClass::Batch.index()].waiting() > 0
            && self.other_starts + 1 >= STARTS_PER_BATCH_START
            && self.slot_free(PriorityClass::Batch)
    }

    pub(crate) fn waiting_up_to(&self, class: PriorityClass) -> usize {
        self.queues[..=class.index()]
            .iter()
            .map(ClassQueue::waiting)
            .sum()
    }

    /// Lookups fill the reserved slots first; other classes only use what is left of the rest.
    pub(crate) fn slot_free(&self, class: PriorityClass) -> bool {
        let concurrency = self.config.concurrency;
        if class == PriorityClass::Lookup {
            return self.running() < concurrency;
        }
        let reserved = self.config.reserved_slots();
        let lookups = self.running[PriorityClass::Lookup.index()];
        let in_general = self.running() - lookups + lookups.saturating_sub(reserved);
        in_general < concurrency - reserved
    }

    pub(crate) fn pick(&mut self, now: MonoMs) -> Option<Ticket> {
        let mut best: Option<(MonoMs, Ticket)> = None;
        for class in PriorityClass::ALL {
            if !self.slot_free(class) {
                continue;
            }
            let Some(ticket) = self.head(now, class) else {
                continue;
            };
            if class == PriorityClass::Batch && self.other_starts + 1 >= STARTS_PER_BATCH_START {
                return Some(ticket);
            }
            let Some(entry) = self.tickets.waiting(ticket) else {
                continue;
            };
            let rank = entry.since.plus_ms(AGEING_HEAD_START_MS[class.index()]);
            if best.is_none_or(|(best_rank, _)| rank < best_rank) {
                best = Some((rank, ticket));
            }
        }
        best.map(|(_, ticket)| ticket)
    }

    /// Returns the first request of `class` whose deadline has not come.
    fn head(&mut self, now: MonoMs, class: PriorityClass) -> Option<Ticket> {
        let tickets = &self.tickets;
        let startable = |ticket| {
            tickets
                .waiting(ticket)
                .is_some_and(|entry| entry.deadline > now)
        };
        self.queues[class.index()].head(startable)
    }
}

fn bounded_retry_after_ms(wait_ms: f64) -> u64 {
    (wait_ms.max(0.0) as u64).clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end())
}
