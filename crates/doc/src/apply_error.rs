//! Errors of applying a difference.

use thiserror::Error;

use crate::digest::Digest;

/// Why a difference was not applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ApplyError {
    /// The difference belongs to another document.
    #[error("the difference applies to document {wanted}, not to {found}")]
    WrongBase {
        /// The digest that the difference names.
        wanted: Digest,
        /// The digest of the document.
        found: Digest,
    },
    /// A path names no part of a document.
    #[error("`{path}` is no part of a document")]
    UnknownPath {
        /// The path.
        path: String,
    },
    /// A value does not have the form of its entity.
    #[error("the value of `{path}` is unusable: {message}")]
    UnusableValue {
        /// The path.
        path: String,
        /// What is wrong with it.
        message: String,
    },
    /// The result does not have the digest that the difference names.
    #[error("the result has digest {found}, but the difference names {wanted}")]
    WrongResult {
        /// The digest that the difference names.
        wanted: Digest,
        /// The digest of the result.
        found: Digest,
    },
}
