//! The state of accepted requests by ticket.

use lw_base::prelude::*;

use crate::admission_ticket::AdmissionTicket;
use crate::offer::Offer;

/// The state of a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TicketState {
    /// The ticket has ended; its entry can be reused.
    Ended,
    /// The request waits in its class queue.
    Waiting,
    /// The request holds a slot.
    Running,
}

/// One accepted request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    generation: u32,
    state: TicketState,
    pub(crate) class: PriorityClass,
    pub(crate) bytes: u64,
    /// When the request entered its current state.
    pub(crate) since: MonoMs,
    pub(crate) deadline: MonoMs,
}

/// A slab of entries; the generation of an entry changes with each reuse, so that stale tickets do not match.
#[derive(Debug, Default)]
pub(crate) struct TicketTable {
    entries: Vec<Entry>,
    free: Vec<u32>,
}

impl TicketTable {
    pub(crate) fn insert(&mut self, now: MonoMs, offer: &Offer) -> AdmissionTicket {
        let mut entry = Entry {
            generation: 0,
            state: TicketState::Waiting,
            class: offer.class,
            bytes: offer.bytes,
            since: now,
            deadline: offer.deadline,
        };
        let Some(index) = self.free.pop() else {
            self.entries.push(entry);
            return AdmissionTicket {
                index: (self.entries.len() - 1) as u32,
                generation: 0,
            };
        };
        let slot = &mut self.entries[index as usize];
        entry.generation = slot.generation;
        *slot = entry;
        AdmissionTicket {
            index,
            generation: entry.generation,
        }
    }

    /// Returns the entry of a ticket that has not ended.
    pub(crate) fn get(&self, ticket: AdmissionTicket) -> Option<&Entry> {
        self.entries.get(ticket.index as usize).filter(|entry| {
            entry.generation == ticket.generation && entry.state != TicketState::Ended
        })
    }

    pub(crate) fn waiting(&self, ticket: AdmissionTicket) -> Option<&Entry> {
        self.get(ticket)
            .filter(|entry| entry.state == TicketState::Waiting)
    }

    pub(crate) fn running(&self, ticket: AdmissionTicket) -> Option<&Entry> {
        self.get(ticket)
            .filter(|entry| entry.state == TicketState::Running)
    }

    pub(crate) fn run(&mut self, now: MonoMs, ticket: AdmissionTicket) {
        let entry = &mut self.entries[ticket.index as usize];
        entry.state = TicketState::Running;
        entry.since = now;
    }

    pub(crate) fn end(&mut self, ticket: AdmissionTicket) {
        let entry = &mut self.entries[ticket.index as usize];
        entry.state = TicketState::Ended;
        entry.generation = entry.generation.wrapping_add(1);
        self.free.push(ticket.index);
    }
}
