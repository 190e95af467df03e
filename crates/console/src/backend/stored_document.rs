//! A published document.

use std::sync::Arc;

use lw_doc::{Digest, Document};

/// A document with its revision and digest.
#[derive(Clone, Debug)]
pub struct StoredDocument {
    /// The revision.
    pub revision: u64,
    /// The digest of the document.
    pub digest: Digest,
    /// The document.
    pub document: Arc<Document>,
}

impl StoredDocument {
    /// Creates a stored document and computes its digest.
    #[must_use]
    pub fn new(revision: u64, document: Document) -> Self {
        Self {
            revision,
            digest: document.digest(),
            document: Arc::new(document),
        }
    }
}
