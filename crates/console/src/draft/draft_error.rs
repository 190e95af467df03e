//! Errors of reading a draft.

use lw_doc::ApplyError;
use thiserror::Error;

/// Why the draft that a form carries is unusable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DraftError {
    /// The base is missing or damaged.
    #[error(
        "the form does not name the revision that the draft is based on; start again from the overview"
    )]
    NoBase,
    /// The changes are damaged.
    #[error("the changes of the draft are unreadable ({message}); start again from the overview")]
    Unreadable {
        /// What is wrong.
        message: String,
    },
    /// A change does not fit into a document.
    #[error("{0}; undo this change")]
    Unusable(#[from] ApplyError),
}
