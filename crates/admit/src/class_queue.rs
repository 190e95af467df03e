//! Waiting requests of one class, in order of arrival.

use std::collections::VecDeque;

use crate::ticket::Ticket;

/// Tickets that ended while they waited stay in the deque until they reach its head or are compacted.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    tickets: VecDeque<Ticket>,
    waiting: usize,
}

impl ClassQueue {
    pub(crate) fn push(&mut self, ticket: Ticket) {
        self.tickets.push_back(ticket);
        self.waiting += 1;
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the first ticket for which `waits` holds, and drops ended ones before it.
    pub(crate) fn head(&mut self, waits: impl Fn(Ticket) -> bool) -> Option<Ticket> {
        while let Some(ticket) = self.tickets.front().copied() {
            if waits(ticket) {
                return Some(ticket);
            }
            self.tickets.pop_front();
        }
        None
    }

    /// Notes that one of the tickets no longer waits.
    pub(crate) fn left(&mut self, waits: impl Fn(Ticket) -> bool) {
        /// Short queues are not worth compacting.
        const COMPACT_ABOVE: usize = 64;
        self.waiting = self.waiting.saturating_sub(1);
        if self.tickets.len() > COMPACT_ABOVE.max(self.waiting * 2) {
            self.tickets.retain(|ticket| waits(*ticket));
        }
    }
}
