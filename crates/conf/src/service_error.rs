//! Errors of reading the configuration from the key-value service.

use lw_doc::ApplyError;
use lw_plat::KvError;
use thiserror::Error;

/// Why the configuration could not be read or written.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigStoreError {
    /// The key-value service failed.
    #[error("{0}")]
    Kv(#[from] KvError),
    /// A key that the head or an entry names is absent.
    #[error("the key {key} is missing")]
    Missing {
        /// The key.
        key: String,
    },
    /// A value does not have its form or its digest.
    #[error("the value of {key} is damaged: {message}")]
    Damaged {
        /// The key.
        key: String,
        /// What is wrong.
        message: String,
    },
    /// A difference does not lead to the document that its entry names.
    #[error("{0}")]
    Apply(#[from] ApplyError),
    /// No revision in the chain has the wanted number.
    #[error("revision {revision} is not in the audit chain")]
    NoRevision {
        /// The wanted revision.
        revision: u64,
    },
}
