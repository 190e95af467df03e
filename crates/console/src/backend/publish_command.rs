//! Commands to publish a document.

use lw_base::WallMs;
use lw_doc::{Digest, Document};
use uuid::Uuid;

/// A command to publish a validated document. The operator has confirmed the warnings of the change.
#[derive(Clone, Debug)]
pub struct PublishCommand {
    /// The revision that the document is based on.
    pub base_revision: u64,
    /// The digest of the base document.
    pub base_digest: Digest,
    /// The document.
    pub document: Document,
    /// The name of the operator.
    pub operator: String,
    /// The idempotency key of the attempt; resubmitting the same form sends the same key.
    pub operation: Uuid,
    /// The time of the command.
    pub now: WallMs,
}
