//! Ways in which an attempt fails.

use lw_base::{ErrorKind, Outcome, answer_for};

/// Why an attempt ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The connection could not be opened, so no byte was sent.
    ConnectFailed,
    /// The target refused the request before it started.
    TargetRefused,
    /// The connection broke after the request was sent and before the head of the answer.
    AnswerLost,
    /// The answer was shorter than its length or carried no end marker.
    AnswerIncomplete,
    /// The answer carried the id of another attempt.
    CrossedAnswer,
    /// The deadline passed after the request was sent.
    DeadlineAfterSend,
    /// Another host of the gateway answered with an error.
    Reported {
        /// The error kind that it gave.
        kind: ErrorKind,
        /// The outcome that it gave.
        outcome: Outcome,
    },
}

impl AttemptFailure {
    /// Returns the error kind that a caller is told when this failure is final.
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

    /// Returns what is known about the work of the attempt.
    #[must_use]
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Reported { outcome, .. } => outcome,
            _ => answer_for(self.kind()).outcome,
        }
    }
}
