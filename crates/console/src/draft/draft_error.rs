//! Errors of reading and applying a draft.

use lw_doc::ApplyError;
use thiserror::Error;

/// An error in the draft that a form contains.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DraftError {
    /// The base revision or its digest is missing or malformed.
    #[error(
        "the form does not name the revision that the draft is based on; start again from the overview"
    )]
    NoBase,
    /// The changes cannot be parsed.
    #[error("the changes of the draft cannot be read ({message}); start again from the overview")]
    Unreadable {
        /// The parse error.
        message: String,
    },
    /// A change cannot be applied to the document.
    #[error("{0}; undo this change")]
    Unusable(#[from] ApplyError),
}
