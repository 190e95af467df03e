//! The admission queue of one service on one host.

use lw_base::prelude::*;
use lw_base::violate;

use crate::class_queue::ClassQueue;
use crate::counts::Counts;
use crate::deadline_queue::DeadlineQueue;
use crate::offer::{Offer, Verdict};
use crate::queue_config::QueueConfig;
use crate::ticket::Ticket;
use crate::ticket_table::TicketTable;
use crate::wait_estimate::WaitEstimate;

/// Decides which requests of a service run, wait or are rejected.
///
/// Each accepted ticket ends in exactly one of: started, refused, expired, cancelled. A second end of a ticket is
/// counted as a violation of [`Invariant::OneOutcome`].
#[derive(Debug)]
pub struct ServiceQueue {
    pub(crate) config: QueueConfig,
    pub(crate) tickets: TicketTable,
    pub(crate) queues: [ClassQueue; 3],
    pub(crate) deadlines: DeadlineQueue,
    pub(crate) running: [u32; 3],
    pub(crate) waiting_bytes: u64,
    pub(crate) other_starts: u32,
    pub(crate) wait: WaitEstimate,
    pub(crate) counts: Counts,
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
            other_starts: 0,
            wait: WaitEstimate::default(),
            counts: Counts::default(),
        }
    }

    /// Replaces the bounds; waiting requests stay, also above lower bounds.
    pub fn set_config(&mut self, config: QueueConfig) {
        self.config = config;
    }

    /// Changes how many requests run at once; running requests are not stopped.
    ///
    /// After a rise, the caller takes what starts from [`Self::next_starts`].
    pub fn set_concurrency(&mut self, concurrency: u32) {
        self.config.concurrency = concurrency;
    }

    /// Offers a request.
    pub fn offer(&mut self, now: MonoMs, offer: Offer) -> Verdict {
        self.counts.offered += 1;
        if let Some(verdict) = self.refusal(now, &offer) {
            self.counts.refused_at_once += 1;
            return verdict;
        }
        let ticket = self.tickets.insert(now, &offer);
        if self.starts_at_once(offer.class) {
            self.start(now, ticket);
            return Verdict::Start(ticket);
        }
        let latest = now.plus_ms(self.config.max_wait_ms);
        self.queues[offer.class.index()].push(ticket);
        self.deadlines.push(offer.deadline.min(latest), ticket);
        self.waiting_bytes += offer.bytes;
        Verdict::Queued(ticket)
    }

    /// Notes that a running request ended, which frees its slot.
    pub fn finished(&mut self, now: MonoMs, ticket: Ticket) {
        let Some(entry) = self.tickets.running(ticket).copied() else {
            violate(Invariant::OneOutcome, "a ticket finished that does not run");
            return;
        };
        self.wait
            .observe(entry.class, now.since_ms(entry.since) as f64);
        self.running[entry.class.index()] -= 1;
        self.tickets.end(ticket);
    }

    /// Appends the waiting requests that start now, in order.
    pub fn next_starts(&mut self, now: MonoMs, out: &mut Vec<Ticket>) {
        while let Some(ticket) = self.pick(now) {
            self.leave_queue(ticket);
            self.start(now, ticket);
            out.push(ticket);
        }
    }

    /// Appends the waiting requests whose deadline has come; they end as expired.
    pub fn expire(&mut self, now: MonoMs, out: &mut Vec<Ticket>) {
        while let Some(ticket) = self.deadlines.pop_due(now) {
            if self.waits(ticket) {
                self.leave_queue(ticket);
                self.tickets.end(ticket);
                self.counts.expired += 1;
                out.push(ticket);
            }
        }
        self.check_counts();
    }

    /// Ends a ticket whose caller went away. A running one gives its slot back.
    pub fn cancel(&mut self, ticket: Ticket) {
        if self.waits(ticket) {
            self.leave_queue(ticket);
            self.tickets.end(ticket);
            self.counts.cancelled += 1;
            return;
        }
        let Some(entry) = self.tickets.running(ticket).copied() else {
            violate(
                Invariant::OneOutcome,
                "a ticket was cancelled after its end",
            );
            return;
        };
        self.running[entry.class.index()] -= 1;
        self.tickets.end(ticket);
    }

    /// Refuses a waiting ticket, for example when a stricter residency rule takes effect.
    pub fn refuse(&mut self, ticket: Ticket) {
        if !self.waits(ticket) {
            violate(
                Invariant::OneOutcome,
                "a ticket was refused that does not wait",
            );
            return;
        }
        self.leave_queue(ticket);
        self.tickets.end(ticket);
        self.counts.refused += 1;
    }

    /// Returns the wait that a new request of `class` has to expect, in milliseconds.
    #[must_use]
    pub fn expected_wait_ms(&self, class: PriorityClass) -> f64 {
        if self.slot_free(class) && self.waiting_up_to(class) == 0 {
            return 0.0;
        }
        let work_ms: f64 = PriorityClass::ALL
            .into_iter()
            .filter(|other| *other <= class)
            .map(|other| self.queues[other.index()].waiting() as f64 * self.wait.hold_ms(other))
            .sum();
        let reserved = match class {
            PriorityClass::Lookup => 0,
            PriorityClass::Interactive | PriorityClass::Batch => self.config.reserved_slots(),
        };
        let slots = self.config.concurrency.saturating_sub(reserved).max(1);
        (work_ms + self.wait.hold_ms(class)) / f64::from(slots)
    }

    /// Returns the earliest point at which [`Self::expire`] may have something to do.
    #[must_use]
    pub fn next_deadline(&self) -> Option<MonoMs> {
        self.deadlines.next()
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(ClassQueue::waiting).sum()
    }

    /// Returns how many bytes wait.
    #[must_use]
    pub fn waiting_bytes(&self) -> u64 {
        self.waiting_bytes
    }

    /// Returns how many requests run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.iter().sum()
    }

    /// Returns the counts of all offers.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn start(&mut self, now: MonoMs, ticket: Ticket) {
        let Some(class) = self.tickets.get(ticket).map(|entry| entry.class) else {
            return;
        };
        self.tickets.run(now, ticket);
        self.running[class.index()] += 1;
        self.counts.started += 1;
        let batch_waits = self.queues[PriorityClass::Batch.index()].waiting() > 0;
        if class == PriorityClass::Batch || !batch_waits {
            self.other_starts = 0;
        } else {
            self.other_starts += 1;
        }
    }

    fn waits(&self, ticket: Ticket) -> bool {
        self.tickets.waiting(ticket).is_some()
    }

    /// Takes a waiting ticket out of the accounts of its queue.
    fn leave_queue(&mut self, ticket: Ticket) {
        let Some(entry) = self.tickets.waiting(ticket).copied() else {
            return;
        };
        self.waiting_bytes -= entry.bytes;
        let tickets = &self.tickets;
        let waits = |other| other != ticket && tickets.waiting(other).is_some();
        self.queues[entry.class.index()].left(waits);
        let waiting = self.queues.iter().map(ClassQueue::waiting).sum();
        self.deadlines.compact(waiting, waits);
    }

    fn check_counts(&self) {
        if self.counts.ended() + self.waiting() as u64 != self.counts.offered {
            violate(
                Invariant::OneOutcome,
                "the ends of tickets do not add up to the offers",
            );
        }
    }
}
