//! Deadlines of waiting requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use lw_base::prelude::*;

use crate::ticket::Ticket;

/// A heap of deadlines; entries of tickets that ended earlier are skipped when they come up.
#[derive(Debug, Default)]
pub(crate) struct DeadlineQueue {
    heap: BinaryHeap<Reverse<(MonoMs, u32, u32)>>,
}

impl DeadlineQueue {
    pub(crate) fn push(&mut self, deadline: MonoMs, ticket: Ticket) {
        self.heap
            .push(Reverse((deadline, ticket.index, ticket.generation)));
    }

    /// Removes and returns a ticket whose deadline has come.
    pub(crate) fn pop_due(&mut self, now: MonoMs) -> Option<Ticket> {
        let Reverse((deadline, index, generation)) = *self.heap.peek()?;
        if deadline > now {
            return None;
        }
        self.heap.pop();
        Some(Ticket { index, generation })
    }

    /// Returns the earliest deadline, possibly of a ticket that has ended.
    pub(crate) fn next(&self) -> Option<MonoMs> {
        self.heap.peek().map(|Reverse((deadline, ..))| *deadline)
    }

    /// Drops entries of tickets that no longer wait when they outnumber the waiting ones.
    pub(crate) fn compact(&mut self, waiting: usize, waits: impl Fn(Ticket) -> bool) {
        /// Small heaps are not worth compacting.
        const COMPACT_ABOVE: usize = 64;
        if self.heap.len() > COMPACT_ABOVE.max(waiting * 2) {
            self.heap.retain(|Reverse((_, index, generation))| {
                waits(Ticket {
                    index: *index,
                    generation: *generation,
                })
            });
        }
    }
}
