//! Submitted requests that wait for the decision of the at-most-once protocol.

use std::sync::atomic::{AtomicU64, Ordering};

use lw_base::prelude::*;
use lw_idem::Ticket;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::submit_decision::SubmitDecision;

/// Requests that wait for a decision, by ticket.
#[derive(Default)]
pub(crate) struct PendingDecisions {
    next_ticket: AtomicU64,
    waiting: Mutex<FastMap<u64, oneshot::Sender<SubmitDecision>>>,
}

impl PendingDecisions {
    /// Registers a request and returns its ticket and the receiver of its decision.
    pub(crate) fn register(&self) -> (Ticket, oneshot::Receiver<SubmitDecision>) {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.waiting.lock().insert(ticket, sender);
        (Ticket(ticket), receiver)
    }

    /// Delivers a decision. If the request was dropped, a permit in the decision is dropped here and ends as not run.
    pub(crate) fn deliver(&self, ticket: Ticket, decision: SubmitDecision) {
        let sender = self.waiting.lock().remove(&ticket.0);
        if let Some(sender) = sender {
            drop(sender.send(decision));
        }
    }

    /// Drops all waiting requests, whose receivers then report a closed channel.
    pub(crate) fn clear(&self) {
        let waiting = std::mem::take(&mut *self.waiting.lock());
        drop(waiting);
    }
}
