//! Outcomes of publishing.

use lw_doc::Fault;

use crate::backend::stored_document::StoredDocument;

/// The outcome of a publish command.
#[derive(Clone, Debug)]
pub enum PublishOutcome {
    /// The document is in force.
    Published {
        /// The new revision.
        revision: u64,
    },
    /// Another operator published first.
    Conflict {
        /// The revision in force.
        head: StoredDocument,
    },
    /// Nothing was published.
    Refused {
        /// The reason, for the operator.
        reason: String,
        /// The faults, when validation rejected the document.
        faults: Vec<Fault>,
    },
    /// The document may have been published; the same operation can be repeated safely.
    Unknown {
        /// The cause, for the operator.
        reason: String,
    },
}
