//! Errors of publishing a document.

use lw_doc::{Change, Fault, Warning};
use thiserror::Error;

use crate::config_store_error::ConfigStoreError;

/// An error of publishing a document.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PublishError {
    /// Validation found faults in the document.
    #[error("the document has {} faults", .0.len())]
    Invalid(Vec<Fault>),
    /// The change has warnings that the operator did not confirm.
    #[error("the change has {} warnings that need confirmation", .0.len())]
    Unconfirmed(Vec<Warning>),
    /// The document is identical to the document in force.
    #[error("the document does not differ from revision {revision}")]
    Unchanged {
        /// The revision in force.
        revision: u64,
    },
    /// Another operator published first.
    #[error("revision {head_revision} was published since")]
    Conflict {
        /// The revision in force.
        head_revision: u64,
        /// The changes between the base and the head, if they can be read from the audit chain.
        changes: Option<Vec<Change>>,
    },
    /// The service failed before the head was written: nothing was published.
    #[error("nothing was published: {0}")]
    Store(#[from] ConfigStoreError),
    /// The reply to the write of the head was lost. Repeat the same operation to learn the outcome.
    #[error("the document may have been published; repeat the same operation to learn the outcome")]
    Unknown,
}
