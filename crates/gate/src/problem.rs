//! Reasons to refuse a request before it is accepted.

use lw_base::ErrorKind;
use lw_flow::Ending;

use crate::error_reply::{ErrorDetail, ending_reply};
use crate::reply::Reply;

/// An error kind with what the caller is told beyond the answer table.
#[derive(Clone, Debug)]
pub(crate) struct Problem {
    pub(crate) kind: ErrorKind,
    pub(crate) detail: ErrorDetail,
}

impl Problem {
    /// Names the fault and the fix in `message`.
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
        self.reply_as(Ending::rejected(self.kind))
    }

    /// Builds the response with an outcome that differs from the answer table.
    pub(crate) fn reply_as(&self, ending: Ending) -> Reply {
        ending_reply(ending, &self.detail)
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
