//! Requests that wait for a decision.

use std::sync::atomic::{AtomicU64, Ordering};

use lw_base::prelude::*;
use lw_idem::Ticket;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::submit_decision::SubmitDecision;

/// Requests that wait for a decision, by ticket.
#[derive(Default)]
pub(crate) struct Answers {
    next: AtomicU64,
    waiting: Mutex<FastMap<u64, oneshot::Sender<SubmitDecision>>>,
}

impl Answers {
    pub(crate) fn open(&self) -> (Ticket, oneshot::Receiver<SubmitDecision>) {
        let ticket = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.waiting.lock().insert(ticket, sender);
        (Ticket(ticket), receiver)
    }

    /// Delivers a decision; a permit that nobody waits for ends as not run when it is dropped here.
    pub(crate) fn deliver(&self, ticket: Ticket, answer: SubmitDecision) {
        let sender = self.waiting.lock().remove(&ticket.0);
        if let Some(sender) = sender {
            drop(sender.send(answer));
        }
    }

    pub(crate) fn clear(&self) {
        let waiting = std::mem::take(&mut *self.waiting.lock());
        drop(waiting);
    }
}
