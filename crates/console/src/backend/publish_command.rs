//! Orders to publish.

use lw_base::WallMs;
use lw_doc::{Digest, Document};
use uuid::Uuid;

/// A validated document that an operator publishes. The warnings of the change are confirmed.
#[derive(Clone, Debug)]
pub struct PublishCommand {
    /// The revision that the document was made from.
    pub base_revision: u64,
    /// The digest of the document of that revision.
    pub base_digest: Digest,
    /// The document.
    pub document: Document,
    /// The name of the operator.
    pub operator: String,
    /// Identifies the attempt; a repetition of the same form has the same one.
    pub operation: Uuid,
    /// The time of the order.
    pub now: WallMs,
}
