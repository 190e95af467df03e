//! The scheduling rules: which request starts next, and which one is rejected immediately.

use lw_base::prelude::*;

use crate::admission_ticket::AdmissionTicket;
use crate::class_queue::ClassQueue;
use crate::offer::{Offer, Verdict};
use crate::service_queue::ServiceQueue;

/// The delay that is added to the arrival time of a request, by class, before requests are compared.
///
/// A batch request is ranked before lookups that arrived more than a minute after it, so no class starves.
const CLASS_DELAY_MS: [u64; 3] = [0, 10_000, 60_000];
/// While batch requests wait, at least one in this many starts is a batch request (5%).
const STARTS_PER_BATCH_START: u32 = 20;
/// The range of the `Retry-After` value, in milliseconds.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 1_000..=60_000;

impl ServiceQueue {
    /// Returns the rejection of a request that cannot start before its deadline or does not fit in the queue.
    pub(crate) fn rejection(&self, now: MonoMs, offer: &Offer) -> Option<Verdict> {
        let wait_ms = self.expected_wait_ms(offer.class);
        let remaining_ms = offer.deadline.since_ms(now);
        if remaining_ms == 0 || wait_ms > remaining_ms as f64 {
            let retry_after_ms = bounded_retry_after_ms(wait_ms - remaining_ms as f64);
            return Some(Verdict::Refuse {
                kind: ErrorKind::DeadlineUnreachable,
                retry_after_ms,
            });
        }
        if self.starts_immediately(offer.class) || self.fits_in_queue(offer) {
            return None;
        }
        Some(Verdict::Refuse {
            kind: ErrorKind::QueueFull,
            retry_after_ms: bounded_retry_after_ms(wait_ms),
        })
    }

    fn fits_in_queue(&self, offer: &Offer) -> bool {
        let entries = self.config.max_waiting_for(offer.class) as usize;
        let bytes = self.waiting_bytes.saturating_add(offer.bytes);
        self.waiting() < entries && bytes <= self.config.queue_bytes
    }

    pub(crate) fn starts_immediately(&self, class: PriorityClass) -> bool {
        self.has_free_slot(class) && self.waiting_up_to(class) == 0 && !self.must_start_batch(class)
    }

    /// Returns true when a batch request must start before a request of `class`.
    fn must_start_batch(&self, class: PriorityClass) -> bool {
        class != PriorityClass::Batch
            && self.queues[PriorityClass::Batch.index()].waiting() > 0
            && self.starts_since_batch + 1 >= STARTS_PER_BATCH_START
            && self.has_free_slot(PriorityClass::Batch)
    }

    /// Returns the number of waiting requests of `class` and of the higher classes.
    pub(crate) fn waiting_up_to(&self, class: PriorityClass) -> usize {
        self.queues[..=class.index()]
            .iter()
            .map(ClassQueue::waiting)
            .sum()
    }

    /// Returns true when a slot is free for `class`. Lookups fill the reserved slots first; the other classes use only
    /// the remaining slots.
    pub(crate) fn has_free_slot(&self, class: PriorityClass) -> bool {
        let concurrency = self.config.concurrency;
        if class == PriorityClass::Lookup {
            return self.running() < concurrency;
        }
        let reserved = self.config.reserved_slots();
        let lookups = self.running[PriorityClass::Lookup.index()];
        let unreserved = self.running() - lookups + lookups.saturating_sub(reserved);
        unreserved < concurrency - reserved
    }

    /// Returns the waiting request that starts next, or `None` when none can start.
    pub(crate) fn next_ticket(&mut self, now: MonoMs) -> Option<AdmissionTicket> {
        let mut best: Option<(MonoMs, AdmissionTicket)> = None;
        for class in PriorityClass::ALL {
            if !self.has_free_slot(class) {
                continue;
            }
            let Some(ticket) = self.first_startable(now, class) else {
                continue;
            };
            if class == PriorityClass::Batch
                && self.starts_since_batch + 1 >= STARTS_PER_BATCH_START
            {
                return Some(ticket);
            }
            let Some(entry) = self.tickets.waiting(ticket) else {
                continue;
            };
            let rank = entry.since.plus_ms(CLASS_DELAY_MS[class.index()]);
            if best.is_none_or(|(best_rank, _)| rank < best_rank) {
                best = Some((rank, ticket));
            }
        }
        best.map(|(_, ticket)| ticket)
    }

    /// Returns the first waiting request of `class` whose deadline has not passed.
    fn first_startable(&mut self, now: MonoMs, class: PriorityClass) -> Option<AdmissionTicket> {
        let tickets = &self.tickets;
        let startable = |ticket| {
            tickets
                .waiting(ticket)
                .is_some_and(|entry| entry.deadline > now)
        };
        self.queues[class.index()].first_waiting(startable)
    }
}

fn bounded_retry_after_ms(wait_ms: f64) -> u64 {
    (wait_ms.max(0.0) as u64).clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end())
}
