//! Errors of publishing.

use lw_doc::{Change, Fault, Warning};
use thiserror::Error;

use crate::service_error::ConfigStoreError;

/// Why a document was not published.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PublishError {
    /// The document has faults.
    #[error("the document has {} faults", .0.len())]
    Invalid(Vec<Fault>),
    /// The change is dangerous and was not confirmed.
    #[error("the change has {} warnings that need confirmation", .0.len())]
    Unconfirmed(Vec<Warning>),
    /// The document is the one in force.
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
        /// What changed between the base and the head, when the audit chain tells.
        changes: Option<Vec<Change>>,
    },
    /// The service failed before the head was written: nothing was published.
    #[error("nothing was published: {0}")]
    Store(#[from] ConfigStoreError),
    /// The reply to the write of the head was lost: repeat with the same operation to learn the outcome.
    #[error("the document may have been published; repeat the same operation to learn the outcome")]
    Unknown,
}
