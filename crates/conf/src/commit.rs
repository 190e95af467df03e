//! Writes a revision: the entry, a snapshot when due, and the head.

use bytes::Bytes;
use lw_base::WallMs;
use lw_doc::{Change, Digest};
use lw_plat::{Kv, KvError};
use uuid::Uuid;

use crate::audit_entry::AuditEntry;
use crate::config_store_error::ConfigStoreError;
use crate::head::{RevisionMark, StoredHead};
use crate::snapshot::{snapshot_ref, write_snapshot};
use crate::store::{encode, swap_head, write_once};

/// The maximum number of revisions between two snapshots, and so of entries that are read to load a document.
///
/// One refused read ends a load. With 256 revisions a load takes 267 reads, and a simultaneous start of 380 hosts does
/// not complete under the rate limits of the service. With 64 revisions there are four times as many snapshots.
pub const REVISIONS_PER_SNAPSHOT: u64 = 64;

/// The maximum encoded size of the changes in an entry. Larger changes are stored only in a snapshot, so that an entry
/// stays below the value limit of the service.
pub const MAX_CHANGES_BYTES: usize = 256 * 1024;

/// The maximum number of attempts to swap the head when replies are lost.
const MAX_SWAP_ATTEMPTS: usize = 4;

/// The content of a revision to write.
pub(crate) struct NewRevision {
    pub(crate) revision: u64,
    pub(crate) base: RevisionMark,
    pub(crate) digest: Digest,
    pub(crate) bytes: Bytes,
    pub(crate) changes: Vec<Change>,
    pub(crate) operation: Uuid,
    pub(crate) operator: String,
    pub(crate) wall: WallMs,
}

/// An error while writing a revision.
pub(crate) enum CommitError {
    /// The head was not written.
    Store(ConfigStoreError),
    /// The stored version of the head differs: another writer changed the head, or this writer did and the reply was
    /// lost.
    HeadChanged,
    /// Replies to the swap were lost and then the service failed, so the head may have been written.
    OutcomeUnknown,
}

/// Writes the snapshot if it is due, then the entry, and then swaps the head if it is still `stored`.
pub(crate) async fn commit(
    kv: &Kv,
    stored: &StoredHead,
    content: NewRevision,
) -> Result<AuditEntry, CommitError> {
    let (entry, snapshot_due) = build_entry(stored, &content);
    let failed = |error: KvError| CommitError::Store(error.into());
    if snapshot_due {
        let written = write_snapshot(kv, entry.mark, &content.bytes).await;
        written.map_err(failed)?;
    }
    let written = write_once(kv, &entry.key(), encode(&entry)).await;
    written.map_err(failed)?;
    swap(kv, &entry, stored.version).await?;
    Ok(entry)
}

fn build_entry(stored: &StoredHead, content: &NewRevision) -> (AuditEntry, bool) {
    let mark = RevisionMark {
        revision: content.revision,
        digest: content.digest,
    };
    let changes_fit = encode(&content.changes).len() <= MAX_CHANGES_BYTES;
    let last = stored.head.as_ref().map(|head| head.snapshot);
    let recent = last.filter(|last| {
        changes_fit && content.revision - last.mark.revision < REVISIONS_PER_SNAPSHOT
    });
    let entry = AuditEntry {
        mark,
        base: content.base,
        base_entry_key: stored.head.as_ref().map(|head| head.entry_key.clone()),
        operation: content.operation,
        operator: content.operator.clone(),
        wall_ms: content.wall,
        snapshot: recent.unwrap_or_else(|| snapshot_ref(mark, &content.bytes)),
        changes: changes_fit.then(|| content.changes.clone()),
    };
    (entry, recent.is_none())
}

async fn swap(kv: &Kv, entry: &AuditEntry, if_version: u64) -> Result<(), CommitError> {
    let head = entry.head();
    let mut may_be_written = false;
    for _ in 0..MAX_SWAP_ATTEMPTS {
        match swap_head(kv, &head, if_version).await {
            Ok(_) => return Ok(()),
            Err(KvError::Conflict { .. }) => return Err(CommitError::HeadChanged),
            // If the first swap took effect, the retry ends in a conflict, and the operation is found in the chain.
            Err(KvError::ReplyLost) => may_be_written = true,
            Err(error) if !may_be_written => return Err(CommitError::Store(error.into())),
            Err(_) => return Err(CommitError::OutcomeUnknown),
        }
    }
    Err(CommitError::OutcomeUnknown)
}
