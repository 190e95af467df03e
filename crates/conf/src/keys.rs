//! The layout of the configuration in the key-value service.

use lw_base::WallMs;
use lw_doc::Digest;
use uuid::Uuid;

/// The key of the head.
pub const HEAD_KEY: &str = "lw/head";

/// The prefix of the records of refused attempts.
pub(crate) const REFUSED_PREFIX: &str = "lw/refused/";

const HOUR_MS: u64 = 60 * 60 * 1000;

/// Returns the key of an entry.
///
/// The operation is a part of it: two operators who publish the same content at once must not share an audit record.
pub(crate) fn entry_key(revision: u64, digest: Digest, operation: Uuid) -> String {
    format!("lw/entry/{revision:012}-{digest}-{operation}")
}

/// Returns the key of a part of a snapshot.
///
/// The digest is a part of it: after lost writes two documents may carry the same revision.
pub(crate) fn snapshot_key(revision: u64, digest: Digest, part: u32) -> String {
    format!("lw/snap/{revision:012}-{digest}/{part:04}")
}

/// Returns the key that holds the refused attempts of the hour of `wall`.
pub(crate) fn refused_key(wall: WallMs) -> String {
    format!("{REFUSED_PREFIX}{:010}", wall.0 / HOUR_MS)
}
