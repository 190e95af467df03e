//! Failures of a single attempt.

use lw_base::{ErrorKind, Outcome, error_response};

/// Why an attempt ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The connection could not be opened, so no byte was sent.
    ConnectFailed,
    /// The target refused the request before it started.
    TargetRefused,
    /// The connection broke after the request was sent and before the response head arrived.
    AnswerLost,
    /// The answer was shorter than its declared length or had no end marker.
    AnswerIncomplete,
    /// The answer is not known to belong to this attempt: it carries another id, or lacks a proof of its origin.
    CrossedAnswer,
    /// The deadline passed after the request was sent.
    DeadlineAfterSend,
    /// Another host of the gateway answered with an error.
    Reported {
        /// The reported error kind.
        kind: ErrorKind,
        /// The reported outcome.
        outcome: Outcome,
    },
}

impl AttemptFailure {
    /// Returns the error kind that the caller receives when no further attempt follows.
    #[must_use]
    pub fn kind(self) -> ErrorKind {
        match self {
            Self::ConnectFailed => ErrorKind::ConnectFailed,
            Self::TargetRefused => ErrorKind::TargetRefused,
            Self::AnswerLost => ErrorKind::AnswerLost,
            Self::AnswerIncomplete | Self::CrossedAnswer => ErrorKind::AnswerIncomplete,
            Self::DeadlineAfterSend => ErrorKind::DeadlineAfterSend,
            Self::Reported { kind, .. } => kind,
        }
    }

    /// Returns whether the attempt ran, as far as the failure shows.
    #[must_use]
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Reported { outcome, .. } => outcome,
            _ => error_response(self.kind()).outcome,
        }
    }
}
