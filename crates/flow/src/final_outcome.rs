//! The final result of a request.

use lw_base::{ErrorKind, Outcome, error_response};

/// The final outcome of a request, with the error kind when the answer is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalOutcome {
    /// The outcome reported to the caller.
    pub outcome: Outcome,
    /// The error kind; `None` when the answer is complete.
    pub kind: Option<ErrorKind>,
}

impl FinalOutcome {
    /// The result of a request whose answer was delivered completely.
    pub const COMPLETE: Self = Self {
        outcome: Outcome::Complete,
        kind: None,
    };

    /// Returns the result for `kind`, with the outcome that the answer table assigns to it.
    #[must_use]
    pub fn rejected(kind: ErrorKind) -> Self {
        Self {
            outcome: error_response(kind).outcome,
            kind: Some(kind),
        }
    }
}
