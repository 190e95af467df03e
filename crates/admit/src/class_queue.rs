//! The FIFO queue of one priority class.

use std::collections::VecDeque;

use crate::admission_ticket::AdmissionTicket;

/// Waiting requests of one priority class, in arrival order.
///
/// Tickets that end while they wait are removed lazily: when they reach the front, or by compaction.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    tickets: VecDeque<AdmissionTicket>,
    waiting: usize,
}

impl ClassQueue {
    pub(crate) fn push(&mut self, ticket: AdmissionTicket) {
        self.tickets.push_back(ticket);
        self.waiting += 1;
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the first ticket that `is_waiting` accepts and removes the ended tickets in front of it.
    pub(crate) fn first_waiting(
        &mut self,
        is_waiting: impl Fn(AdmissionTicket) -> bool,
    ) -> Option<AdmissionTicket> {
        while let Some(ticket) = self.tickets.front().copied() {
            if is_waiting(ticket) {
                return Some(ticket);
            }
            self.tickets.pop_front();
        }
        None
    }

    /// Records that one ticket stopped waiting, and compacts the queue when most of its tickets have ended.
    pub(crate) fn record_removal(&mut self, is_waiting: impl Fn(AdmissionTicket) -> bool) {
        /// Shorter queues are not compacted.
        const COMPACT_MIN_LEN: usize = 64;
        self.waiting = self.waiting.saturating_sub(1);
        if self.tickets.len() > COMPACT_MIN_LEN.max(self.waiting * 2) {
            self.tickets.retain(|ticket| is_waiting(*ticket));
        }
    }
}
