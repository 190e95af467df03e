//! The admission queue of one service on one host.

use lw_base::prelude::*;
use lw_base::report_violation;

use crate::admission_ticket::AdmissionTicket;
use crate::class_queue::ClassQueue;
use crate::deadline_queue::DeadlineQueue;
use crate::hold_time_estimate::HoldTimeEstimate;
use crate::offer::{Offer, Verdict};
use crate::offer_counts::OfferCounts;
use crate::queue_config::QueueConfig;
use crate::ticket_table::TicketTable;

/// Decides which requests of a service start, wait or are rejected.
///
/// Each ticket leaves the queue in exactly one way: started, refused, expired or cancelled. Ending a ticket a second
/// time is counted as a violation of [`Invariant::OneOutcome`].
#[derive(Debug)]
pub struct ServiceQueue {
    pub(crate) config: QueueConfig,
    pub(crate) tickets: TicketTable,
    pub(crate) queues: [ClassQueue; 3],
    pub(crate) deadlines: DeadlineQueue,
    pub(crate) running: [u32; 3],
    pub(crate) waiting_bytes: u64,
    /// Starts of other classes since the last batch start; zero while no batch request waits.
    pub(crate) starts_since_batch: u32,
    pub(crate) hold_times: HoldTimeEstimate,
    pub(crate) counts: OfferCounts,
}

impl ServiceQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(config: QueueConfig) -> Self {
        Self {
            config,
            tickets: TicketTable::default(),
            queues: Default::default(),
            deadlines: DeadlineQueue::default(),
            running: [0; 3],
            waiting_bytes: 0,
            starts_since_batch: 0,
            hold_times: HoldTimeEstimate::default(),
            counts: OfferCounts::default(),
        }
    }

    /// Replaces the limits; requests that already wait stay, even above the new limits.
    pub fn set_config(&mut self, config: QueueConfig) {
        self.config = config;
    }

    /// Sets the maximum number of concurrent requests; running requests are not stopped.
    ///
    /// After an increase, the caller calls [`Self::next_starts`] for the requests that can start.
    pub fn set_concurrency(&mut self, concurrency: u32) {
        self.config.concurrency = concurrency;
    }

    /// Admits, queues or rejects a request.
    pub fn offer(&mut self, now: MonoMs, offer: Offer) -> Verdict {
        self.counts.offered += 1;
        if let Some(verdict) = self.rejection(now, &offer) {
            self.counts.rejected_immediately += 1;
            return verdict;
        }
        let ticket = self.tickets.insert(now, &offer);
        if self.starts_immediately(offer.class) {
            self.start(now, ticket);
            return Verdict::Start(ticket);
        }
        let latest = now.plus_ms(self.config.max_wait_ms);
        self.queues[offer.class.index()].push(ticket);
        self.deadlines.push(offer.deadline.min(latest), ticket);
        self.waiting_bytes += offer.bytes;
        Verdict::Queued(ticket)
    }

    /// Ends a running request and frees its slot.
    pub fn finished(&mut self, now: MonoMs, ticket: AdmissionTicket) {
        let Some(entry) = self.tickets.running(ticket).copied() else {
            report_violation(
                Invariant::OneOutcome,
                "a ticket that is not running was finished",
            );
            return;
        };
        self.hold_times
            .observe(entry.class, now.since_ms(entry.since) as f64);
        self.running[entry.class.index()] -= 1;
        self.tickets.end(ticket);
    }

    /// Starts the waiting requests for which slots are free and appends them in start order.
    pub fn next_starts(&mut self, now: MonoMs, out: &mut Vec<AdmissionTicket>) {
        while let Some(ticket) = self.next_ticket(now) {
            self.remove_from_queue(ticket);
            self.start(now, ticket);
            out.push(ticket);
        }
    }

    /// Ends the waiting requests whose deadline has passed as expired, and appends them.
    pub fn expire(&mut self, now: MonoMs, out: &mut Vec<AdmissionTicket>) {
        while let Some(ticket) = self.deadlines.pop_due(now) {
            if self.is_waiting(ticket) {
                self.remove_from_queue(ticket);
                self.tickets.end(ticket);
                self.counts.expired += 1;
                out.push(ticket);
            }
        }
        self.check_counts();
    }

    /// Ends a ticket whose caller disconnected. A running request frees its slot.
    pub fn cancel(&mut self, ticket: AdmissionTicket) {
        if self.is_waiting(ticket) {
            self.remove_from_queue(ticket);
            self.tickets.end(ticket);
            self.counts.cancelled += 1;
            return;
        }
        let Some(entry) = self.tickets.running(ticket).copied() else {
            report_violation(
                Invariant::OneOutcome,
                "a ticket was cancelled after it had ended",
            );
            return;
        };
        self.running[entry.class.index()] -= 1;
        self.tickets.end(ticket);
    }

    /// Refuses a waiting ticket, for example when a stricter residency rule takes effect.
    pub fn refuse(&mut self, ticket: AdmissionTicket) {
        if !self.is_waiting(ticket) {
            report_violation(
                Invariant::OneOutcome,
                "a ticket that is not waiting was refused",
            );
            return;
        }
        self.remove_from_queue(ticket);
        self.tickets.end(ticket);
        self.counts.refused += 1;
    }

    /// Returns the expected wait of a new request of `class`, in milliseconds.
    #[must_use]
    pub fn expected_wait_ms(&self, class: PriorityClass) -> f64 {
        if self.has_free_slot(class) && self.waiting_up_to(class) == 0 {
            return 0.0;
        }
        let work_ms: f64 = PriorityClass::ALL
            .into_iter()
            .filter(|other| *other <= class)
            .map(|other| {
                self.queues[other.index()].waiting() as f64 * self.hold_times.hold_ms(other)
            })
            .sum();
        let reserved = match class {
            PriorityClass::Lookup => 0,
            PriorityClass::Interactive | PriorityClass::Batch => self.config.reserved_slots(),
        };
        let slots = self.config.concurrency.saturating_sub(reserved).max(1);
        (work_ms + self.hold_times.hold_ms(class)) / f64::from(slots)
    }

    /// Returns the earliest time at which [`Self::expire`] may end a request.
    #[must_use]
    pub fn next_deadline(&self) -> Option<MonoMs> {
        self.deadlines.next()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(ClassQueue::waiting).sum()
    }

    /// Returns the total size of the waiting requests, in bytes.
    #[must_use]
    pub fn waiting_bytes(&self) -> u64 {
        self.waiting_bytes
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.iter().sum()
    }

    /// Returns the counters since the queue was created.
    #[must_use]
    pub fn counts(&self) -> OfferCounts {
        self.counts
    }

    fn start(&mut self, now: MonoMs, ticket: AdmissionTicket) {
        let Some(class) = self.tickets.get(ticket).map(|entry| entry.class) else {
            return;
        };
        self.tickets.run(now, ticket);
        self.running[class.index()] += 1;
        self.counts.started += 1;
        let batch_waits = self.queues[PriorityClass::Batch.index()].waiting() > 0;
        if class == PriorityClass::Batch || !batch_waits {
            self.starts_since_batch = 0;
        } else {
            self.starts_since_batch += 1;
        }
    }

    fn is_waiting(&self, ticket: AdmissionTicket) -> bool {
        self.tickets.waiting(ticket).is_some()
    }

    /// Removes a waiting ticket from the totals of its queue; the caller ends or starts it.
    fn remove_from_queue(&mut self, ticket: AdmissionTicket) {
        let Some(entry) = self.tickets.waiting(ticket).copied() else {
            return;
        };
        self.waiting_bytes -= entry.bytes;
        let tickets = &self.tickets;
        let is_waiting = |other| other != ticket && tickets.waiting(other).is_some();
        self.queues[entry.class.index()].record_removal(is_waiting);
        let waiting = self.queues.iter().map(ClassQueue::waiting).sum();
        self.deadlines.compact(waiting, is_waiting);
    }

    fn check_counts(&self) {
        if self.counts.ended() + self.waiting() as u64 != self.counts.offered {
            report_violation(
                Invariant::OneOutcome,
                "the ended and waiting tickets do not add up to the offers",
            );
        }
    }
}
