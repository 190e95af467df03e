//! Snapshots: full documents, split into parts.

use bytes::Bytes;
use lw_doc::DigestedDocument;
use lw_plat::{Kv, KvError};

use crate::config_store_error::ConfigStoreError;
use crate::head::{RevisionMark, SnapshotRef};
use crate::keys::snapshot_key;
use crate::store::{decode, read_value, write_once};

/// The maximum size of a part in bytes: half of the 1 MB value limit of the key-value service, which leaves room for
/// overhead.
pub const SNAPSHOT_PART_BYTES: usize = 512 * 1024 - 1;

/// Returns the reference to the snapshot that [`write_snapshot`] writes for a document.
pub(crate) fn snapshot_ref(mark: RevisionMark, bytes: &[u8]) -> SnapshotRef {
    let parts = bytes.len().div_ceil(SNAPSHOT_PART_BYTES);
    SnapshotRef {
        mark,
        parts: u32::try_from(parts).expect("a document has fewer than 2^32 parts"),
    }
}

/// Writes the canonical bytes of a document in parts.
pub(crate) async fn write_snapshot(
    kv: &Kv,
    mark: RevisionMark,
    bytes: &Bytes,
) -> Result<(), KvError> {
    let starts = (0..bytes.len()).step_by(SNAPSHOT_PART_BYTES);
    for (part, start) in (0u32..).zip(starts) {
        let end = bytes.len().min(start + SNAPSHOT_PART_BYTES);
        let key = snapshot_key(mark.revision, mark.digest, part);
        write_once(kv, &key, bytes.slice(start..end)).await?;
    }
    Ok(())
}

/// Reads a snapshot and checks its digest.
pub(crate) async fn read_snapshot(
    kv: &Kv,
    snapshot: &SnapshotRef,
) -> Result<DigestedDocument, ConfigStoreError> {
    let RevisionMark { revision, digest } = snapshot.mark;
    let mut bytes = Vec::new();
    for part in 0..snapshot.parts {
        let key = snapshot_key(revision, digest, part);
        bytes.extend_from_slice(&read_value(kv, &key).await?);
    }
    let key = snapshot_key(revision, digest, 0);
    let applied = DigestedDocument::new(decode(&key, &bytes)?);
    if applied.tree.root() != digest {
        let message = "the content does not match the digest in the key".to_owned();
        return Err(ConfigStoreError::Damaged { key, message });
    }
    Ok(applied)
}
