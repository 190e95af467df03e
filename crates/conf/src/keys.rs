//! Keys of the configuration in the key-value service.

use lw_base::WallMs;
use lw_doc::Digest;
use uuid::Uuid;

/// The key of the head.
pub const HEAD_KEY: &str = "lw/head";

/// The prefix of the entries.
pub(crate) const ENTRY_PREFIX: &str = "lw/entry/";

/// The prefix of the snapshots.
pub(crate) const SNAPSHOT_PREFIX: &str = "lw/snap/";

/// The prefix of the blocks of packed entries.
pub(crate) const BLOCK_PREFIX: &str = "lw/audit/";

/// The key of the audit floor: the revision up to which the audit log was removed.
pub(crate) const AUDIT_FLOOR_KEY: &str = "lw/audit-floor";

/// The prefix of the records of refused attempts.
pub(crate) const REFUSED_PREFIX: &str = "lw/refused/";

const HOUR_MS: u64 = 60 * 60 * 1000;

/// Returns the key of an entry.
///
/// The key contains the operation: two operators who publish the same content concurrently must not share an
/// audit record.
pub(crate) fn entry_key(revision: u64, digest: Digest, operation: Uuid) -> String {
    format!("{ENTRY_PREFIX}{revision:012}-{digest}-{operation}")
}

/// Returns the key of a part of a snapshot.
///
/// The key contains the digest: when the service loses writes, two documents may get the same revision.
pub(crate) fn snapshot_key(revision: u64, digest: Digest, part: u32) -> String {
    format!("{SNAPSHOT_PREFIX}{revision:012}-{digest}/{part:04}")
}

/// Returns the key of the refused attempts in the hour of `wall`.
pub(crate) fn refused_key(wall: WallMs) -> String {
    format!("{REFUSED_PREFIX}{:010}", wall.0 / HOUR_MS)
}

/// Returns the key of the block whose newest entry has the given key.
pub(crate) fn block_key(newest_entry_key: &str) -> String {
    let name = newest_entry_key.strip_prefix(ENTRY_PREFIX);
    format!("{BLOCK_PREFIX}{}", name.unwrap_or(newest_entry_key))
}

/// Returns the key of the newest entry of a block.
pub(crate) fn entry_key_of_block(block_key: &str) -> String {
    let name = block_key.strip_prefix(BLOCK_PREFIX);
    format!("{ENTRY_PREFIX}{}", name.unwrap_or(block_key))
}

/// Parses the revision from the key of an entry, a snapshot or a block.
pub(crate) fn revision_in_key(prefix: &str, key: &str) -> Option<u64> {
    let name = key.strip_prefix(prefix)?;
    name.split('-').next()?.parse().ok()
}
