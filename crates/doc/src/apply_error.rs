//! Errors when a difference or change is applied.

use thiserror::Error;

use crate::digest::Digest;

/// Why a difference or change was not applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ApplyError {
    /// The difference starts from another document.
    #[error("the difference applies to document {expected}, not to {found}")]
    WrongBase {
        /// The digest that the difference states.
        expected: Digest,
        /// The digest of the document that it was applied to.
        found: Digest,
    },
    /// A path names no part of a document.
    #[error("`{path}` is not the path of any part of a document; check its spelling")]
    UnknownPath {
        /// The path.
        path: String,
    },
    /// A value does not have the type of its entity.
    #[error("the value of `{path}` is invalid: {message}")]
    UnusableValue {
        /// The path.
        path: String,
        /// The error of the JSON reader.
        message: String,
    },
    /// The result does not have the digest that the difference states.
    #[error("the result has digest {found}, but the difference states {expected}")]
    WrongResult {
        /// The digest that the difference states.
        expected: Digest,
        /// The digest of the result.
        found: Digest,
    },
}
