//! The head, which refers to the newest published revision.

use lw_doc::Digest;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Identifies a document by revision and digest.
///
/// The revision alone is not enough: when the service loses writes, two documents may get the same revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RevisionMark {
    /// The revision.
    pub revision: u64,
    /// The digest of the document.
    pub digest: Digest,
}

/// Refers to a snapshot in the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRef {
    /// The revision and digest of the document.
    pub mark: RevisionMark,
    /// The number of parts.
    pub parts: u32,
}

/// The value of the head key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The revision and digest of the newest document.
    pub mark: RevisionMark,
    /// The key of the entry of the newest document.
    pub entry_key: String,
    /// The newest snapshot.
    pub snapshot: SnapshotRef,
    /// The operation that published the newest document.
    pub operation: Uuid,
}

/// A head with its version in the key-value service.
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
