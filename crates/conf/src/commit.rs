//! Writing an entry, a snapshot when due, and the head.

use bytes::Bytes;
use lw_base::WallMs;
use lw_doc::{Change, Digest};
use lw_plat::{Kv, KvError};
use uuid::Uuid;

use crate::entry::Entry;
use crate::head::{RevisionMark, StoredHead};
use crate::service::{encode, swap_head, write_once};
use crate::service_error::ConfigStoreError;
use crate::snapshot::{snapshot_ref, write_snapshot};

/// Revisions between snapshots: loading a document reads at most this many entries.
///
/// With 256, a start of 380 hosts did not end under the rate limits of the service, because one refused read ends a
/// load, and a load of 267 reads hardly ever passed. The cost is four times as many snapshots.
pub const REVISIONS_PER_SNAPSHOT: u64 = 64;

/// Larger changes are kept only in a snapshot, so that an entry stays below the value limit.
pub const MAX_CHANGES_BYTES: usize = 256 * 1024;

/// The swap of the head is repeated this often after lost replies.
const SWAP_ATTEMPTS: usize = 4;

/// What is to be written.
pub(crate) struct Commit {
    pub(crate) revision: u64,
    pub(crate) base: RevisionMark,
    pub(crate) digest: Digest,
    pub(crate) bytes: Bytes,
    pub(crate) changes: Vec<Change>,
    pub(crate) operation: Uuid,
    pub(crate) operator: String,
    pub(crate) wall: WallMs,
}

/// Why a commit did not succeed.
pub(crate) enum CommitError {
    /// The head was not written.
    Store(ConfigStoreError),
    /// The head has another version than before: another writer, or this one with a lost reply.
    Swapped,
    /// The replies were lost and the service fails now.
    Unknown,
}

/// Writes everything and swaps the head from `stored`.
pub(crate) async fn commit(
    kv: &Kv,
    stored: &StoredHead,
    content: Commit,
) -> Result<Entry, CommitError> {
    let (entry, snapshot_due) = entry_of(stored, &content);
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

fn entry_of(stored: &StoredHead, content: &Commit) -> (Entry, bool) {
    let mark = RevisionMark {
        revision: content.revision,
        digest: content.digest,
    };
    let changes_fit = encode(&content.changes).len() <= MAX_CHANGES_BYTES;
    let last = stored.head.as_ref().map(|head| head.snapshot);
    let recent = last.filter(|last| {
        changes_fit && content.revision - last.mark.revision < REVISIONS_PER_SNAPSHOT
    });
    let entry = Entry {
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

async fn swap(kv: &Kv, entry: &Entry, if_version: u64) -> Result<(), CommitError> {
    let head = entry.head();
    let mut may_be_written = false;
    for _ in 0..SWAP_ATTEMPTS {
        match swap_head(kv, &head, if_version).await {
            Ok(_) => return Ok(()),
            Err(KvError::Conflict { .. }) => return Err(CommitError::Swapped),
            // The repeated swap fails when the first one took effect, and the chain then shows the operation.
            Err(KvError::ReplyLost) => may_be_written = true,
            Err(error) if !may_be_written => return Err(CommitError::Store(error.into())),
            Err(_) => return Err(CommitError::Unknown),
        }
    }
    Err(CommitError::Unknown)
}
