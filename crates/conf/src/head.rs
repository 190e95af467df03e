//! The head: the newest published revision.

use lw_doc::Digest;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Names a document by revision and digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RevisionMark {
    /// The revision.
    pub revision: u64,
    /// The digest of the document.
    pub digest: Digest,
}

/// Names a snapshot in the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRef {
    /// The document of the snapshot.
    pub mark: RevisionMark,
    /// The number of parts.
    pub parts: u32,
}

/// The value of the head key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The newest document.
    pub mark: RevisionMark,
    /// The key of the entry that led to it.
    pub entry_key: String,
    /// The newest snapshot.
    pub snapshot: SnapshotRef,
    /// The operation that published it.
    pub operation: Uuid,
}

/// A head with the version that the key-value service stores it under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// The version, 0 when there is no head.
    pub version: u64,
    /// The head.
    pub head: Option<Head>,
}

impl StoredHead {
    /// Returns the revision of the head, 0 when there is none.
    pub(crate) fn revision(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.mark.revision)
    }
}
