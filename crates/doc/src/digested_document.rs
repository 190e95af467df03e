//! Results of applying a difference.

use crate::digest_tree::DigestTree;
use crate::document::Document;

/// A document with its digest tree.
#[derive(Clone, Debug, PartialEq)]
pub struct DigestedDocument {
    /// The document.
    pub document: Document,
    /// Its digest tree.
    pub tree: DigestTree,
}

impl DigestedDocument {
    /// Computes the digest tree of a document.
    #[must_use]
    pub fn new(document: Document) -> Self {
        let tree = DigestTree::of(&document);
        Self { document, tree }
    }
}
