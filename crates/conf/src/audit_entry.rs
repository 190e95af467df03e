//! Entries of the audit chain.

use lw_base::WallMs;
use lw_doc::{ApplyError, Change, Difference, DigestedDocument, apply};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::head::{Head, RevisionMark, SnapshotRef};
use crate::keys;

/// One published revision: who changed what, when and from which base.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The document after the change.
    pub mark: RevisionMark,
    /// The document before the change.
    pub base: RevisionMark,
    /// The key of the entry of the base; `None` for the first revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base_entry_key: Option<String>,
    /// Identifies the attempt to publish, so that the publisher can find its entry after a lost reply.
    pub operation: Uuid,
    /// The name of the operator.
    pub operator: String,
    /// The time at which the operator published the revision.
    pub wall_ms: WallMs,
    /// The newest snapshot at or below this revision.
    pub snapshot: SnapshotRef,
    /// The changed entities; `None` when they are too large for a stored value and only the snapshot contains them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes: Option<Vec<Change>>,
}

impl AuditEntry {
    /// Returns the key of the entry.
    #[must_use]
    pub fn key(&self) -> String {
        keys::entry_key(self.mark.revision, self.mark.digest, self.operation)
    }

    /// Returns the head that refers to this entry.
    #[must_use]
    pub fn head(&self) -> Head {
        Head {
            mark: self.mark,
            entry_key: self.key(),
            snapshot: self.snapshot,
            operation: self.operation,
        }
    }

    /// Applies the changes to the document of the base.
    ///
    /// Returns `None` when the entry carries no changes.
    pub(crate) fn apply_to(
        &self,
        base: DigestedDocument,
    ) -> Option<Result<DigestedDocument, ApplyError>> {
        let changes = self.changes.clone()?;
        let difference = Difference {
            base: self.base.digest,
            result: self.mark.digest,
            changes,
        };
        Some(apply(base, &difference))
    }
}
