//! The stages of a request.

use lw_base::AttemptId;

use crate::final_outcome::FinalOutcome;

/// The progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The request passed validation.
    Accepted,
    /// The request waits for a free slot, or for its next attempt.
    Queued,
    /// The request was handed to a connection; from now on it may run.
    Sent(AttemptId),
    /// The response head of this attempt was accepted.
    Answering(AttemptId),
    /// The request has its final result.
    Ended(FinalOutcome),
}
