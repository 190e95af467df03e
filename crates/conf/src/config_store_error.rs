//! Errors of reading and writing the configuration in the key-value service.

use lw_doc::ApplyError;
use lw_plat::KvError;
use thiserror::Error;

/// An error while reading or writing the configuration.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigStoreError {
    /// The key-value service failed.
    #[error("{0}")]
    Kv(#[from] KvError),
    /// A key that the head or an entry refers to is absent.
    #[error("the key {key} is missing")]
    Missing {
        /// The key.
        key: String,
    },
    /// A value cannot be decoded, does not match its digest, or contains entries that do not follow each other.
    #[error("the value of {key} is damaged: {message}")]
    Damaged {
        /// The key.
        key: String,
        /// The reason.
        message: String,
    },
    /// Applying the changes of an entry does not result in its document.
    #[error("{0}")]
    Apply(#[from] ApplyError),
    /// The chain does not contain the requested revision, or its document cannot be rebuilt.
    #[error("revision {revision} is not in the audit chain")]
    NoRevision {
        /// The requested revision.
        revision: u64,
    },
}
