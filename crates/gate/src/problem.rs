//! Errors for requests that are rejected before they are accepted.

use lw_base::ErrorKind;
use lw_flow::FinalOutcome;

use crate::error_reply::{ErrorDetail, final_outcome_reply};
use crate::reply::Reply;

/// An error kind with the details of its response.
#[derive(Clone, Debug)]
pub(crate) struct Problem {
    pub(crate) kind: ErrorKind,
    pub(crate) detail: ErrorDetail,
}

impl Problem {
    /// Creates an error whose `message` says what is wrong and how to correct it.
    pub(crate) fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            detail: ErrorDetail {
                message: Some(message.into()),
                ..ErrorDetail::default()
            },
        }
    }

    /// Builds the response.
    pub(crate) fn reply(&self) -> Reply {
        self.reply_as(FinalOutcome::rejected(self.kind))
    }

    /// Builds the response with the outcome of `final_outcome`, which may differ from that of
    /// [`lw_base::error_response`].
    pub(crate) fn reply_as(&self, final_outcome: FinalOutcome) -> Reply {
        final_outcome_reply(final_outcome, &self.detail)
    }
}

impl From<ErrorKind> for Problem {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            detail: ErrorDetail::default(),
        }
    }
}
