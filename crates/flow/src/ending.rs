//! The end of a request.

use lw_base::{ErrorKind, Outcome, answer_for};

/// The one outcome of a request, with the reason when it is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ending {
    /// What the caller is told.
    pub outcome: Outcome,
    /// Why there is no complete answer; `None` for a complete one.
    pub kind: Option<ErrorKind>,
}

impl Ending {
    /// The end of a request whose whole answer was delivered.
    pub const COMPLETE: Self = Self {
        outcome: Outcome::Complete,
        kind: None,
    };

    /// Returns the end with the outcome that the answer table states for `kind`.
    #[must_use]
    pub fn rejected(kind: ErrorKind) -> Self {
        Self {
            outcome: answer_for(kind).outcome,
            kind: Some(kind),
        }
    }
}
