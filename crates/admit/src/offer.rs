//! Requests offered to a queue, and the verdict.

use lw_base::prelude::*;

use crate::ticket::Ticket;

/// A request that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// The priority class.
    pub class: PriorityClass,
    /// The bytes that the request holds while it waits.
    pub bytes: u64,
    /// The point at which the request is worthless to its caller.
    pub deadline: MonoMs,
}

/// What happens to an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request starts now and holds a slot until the ticket is finished.
    Start(Ticket),
    /// The request waits.
    Queued(Ticket),
    /// The request is rejected; it did not run.
    Refuse {
        /// `queue_full` or `deadline_unreachable`.
        kind: ErrorKind,
        /// When to try again, in milliseconds.
        retry_after_ms: u64,
    },
}
