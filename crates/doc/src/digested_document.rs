//! A document with the digests of its parts.

use crate::digest_tree::DigestTree;
use crate::document::Document;

/// A document together with its digest tree, which must always match.
#[derive(Clone, Debug, PartialEq)]
pub struct DigestedDocument {
    /// The configuration document.
    pub document: Document,
    /// The digest tree of `document`.
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
