//! A priority queue of the deadlines of waiting requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use lw_base::prelude::*;

use crate::admission_ticket::AdmissionTicket;

/// A min-heap of deadlines. Entries of tickets that have ended stay until they are popped or compacted.
#[derive(Debug, Default)]
pub(crate) struct DeadlineQueue {
    heap: BinaryHeap<Reverse<(MonoMs, u32, u32)>>,
}

impl DeadlineQueue {
    pub(crate) fn push(&mut self, deadline: MonoMs, ticket: AdmissionTicket) {
        self.heap
            .push(Reverse((deadline, ticket.index, ticket.generation)));
    }

    /// Removes and returns a ticket whose deadline has passed, if any.
    pub(crate) fn pop_due(&mut self, now: MonoMs) -> Option<AdmissionTicket> {
        let Reverse((deadline, index, generation)) = *self.heap.peek()?;
        if deadline > now {
            return None;
        }
        self.heap.pop();
        Some(AdmissionTicket { index, generation })
    }

    /// Returns the earliest deadline, which may belong to a ticket that has ended.
    pub(crate) fn next(&self) -> Option<MonoMs> {
        self.heap.peek().map(|Reverse((deadline, ..))| *deadline)
    }

    /// Removes the entries of ended tickets when they outnumber the `waiting` tickets.
    pub(crate) fn compact(&mut self, waiting: usize, is_waiting: impl Fn(AdmissionTicket) -> bool) {
        /// Shorter heaps are not compacted.
        const COMPACT_MIN_LEN: usize = 64;
        if self.heap.len() > COMPACT_MIN_LEN.max(waiting * 2) {
            self.heap.retain(|Reverse((_, index, generation))| {
                is_waiting(AdmissionTicket {
                    index: *index,
                    generation: *generation,
                })
            });
        }
    }
}
