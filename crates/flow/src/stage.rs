//! Stages of a request.

use lw_base::AttemptId;

use crate::ending::Ending;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The request passed the checks at entry.
    Accepted,
    /// The request waits for a free slot, or for its next attempt.
    Queued,
    /// The request is handed to a connection; from here on it may run.
    Sent(AttemptId),
    /// The head of the answer of this attempt was accepted.
    Answering(AttemptId),
    /// The request has its outcome.
    Ended(Ending),
}
