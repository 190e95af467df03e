//! Requests offered to a queue, and the admission decisions.

use lw_base::prelude::*;

use crate::admission_ticket::AdmissionTicket;

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// The priority class.
    pub class: PriorityClass,
    /// The memory that the request holds while it waits, in bytes.
    pub bytes: u64,
    /// The time after which the caller no longer needs the answer.
    pub deadline: MonoMs,
}

/// The admission decision for an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request starts now and holds a slot until the ticket is finished.
    Start(AdmissionTicket),
    /// The request waits in the queue.
    Queued(AdmissionTicket),
    /// The request is rejected; it did not run.
    Refuse {
        /// `queue_full` or `deadline_unreachable`.
        kind: ErrorKind,
        /// How long the caller should wait before a retry, in milliseconds.
        retry_after_ms: u64,
    },
}
