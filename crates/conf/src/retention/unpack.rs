//! Removing what a block replaces.

use lw_plat::{Kv, KvCall, KvError, KvReply};

use crate::entry::Entry;
use crate::head::Head;
use crate::keys::{SNAPSHOT_PREFIX, revision_of};
use crate::retention::audit_block::AuditBlock;
use crate::retention::keep_report::RetentionReport;
use crate::service_error::ConfigStoreError;

const DAY_MS: u64 = 24 * 60 * 60 * 1_000;
/// Removals are tried this often before the pass fails.
const REMOVE_ATTEMPTS: usize = 4;

/// Removes the entries that a stored block has, and the snapshots that are not needed any more.
pub(crate) async fn unpack(
    kv: &Kv,
    head: &Head,
    block: &AuditBlock,
    report: &mut RetentionReport,
) -> Result<(), ConfigStoreError> {
    thin_snapshots(kv, head, block, report).await?;
    // Once the newest entry is gone, readers take the whole block; before that none may go.
    for entry in block.entries.iter().rev() {
        report.entries_packed += usize::from(remove(kv, &entry.key()).await?);
    }
    Ok(())
}

/// Removes a key and returns once it is certainly absent; false when it was absent before.
pub(crate) async fn remove(kv: &Kv, key: &str) -> Result<bool, ConfigStoreError> {
    let mut sent = false;
    for _ in 0..REMOVE_ATTEMPTS {
        let key = key.to_owned();
        let if_version = match kv.call(KvCall::Get { key: key.clone() }).await? {
            KvReply::Value { version, .. } => version,
            KvReply::Absent => return Ok(sent),
            _ => return Err(KvError::Malformed.into()),
        };
        sent = true;
        match kv.call(KvCall::Delete { key, if_version }).await {
            Ok(_) => return Ok(true),
            Err(KvError::Conflict { .. } | KvError::ReplyLost) => {}
            Err(error) => return Err(error.into()),
        }
    }
    Err(KvError::ReplyLost.into())
}

/// Keeps one snapshot a day and those that hold what an entry leaves out; older documents are built from them.
async fn thin_snapshots(
    kv: &Kv,
    head: &Head,
    block: &AuditBlock,
    report: &mut RetentionReport,
) -> Result<(), ConfigStoreError> {
    let starts_day = block.oldest_wall_ms() / DAY_MS != block.newest_wall_ms() / DAY_MS;
    // The chain starts from its first snapshot.
    let has_snapshot = |entry: &&Entry| entry.snapshot.mark == entry.mark;
    let first = block.entries.iter().find(has_snapshot);
    let first = first.filter(|_| starts_day).map(|entry| entry.mark);
    let is_needed = |entry: &&Entry| {
        first == Some(entry.mark) || entry.changes.is_none() || entry.base.revision == 0
    };
    let needed: Vec<String> = block
        .entries
        .iter()
        .filter(is_needed)
        .map(|entry| format!("{:012}-{}/", entry.mark.revision, entry.mark.digest))
        .collect();
    let below = head.snapshot.mark.revision;
    for key in list(kv, SNAPSHOT_PREFIX).await? {
        let Some(revision) = revision_of(SNAPSHOT_PREFIX, &key) else {
            continue;
        };
        let inside = (block.first_revision()..=block.last_revision()).contains(&revision);
        let name = key.strip_prefix(SNAPSHOT_PREFIX).unwrap_or_default();
        let is_needed = needed.iter().any(|needed| name.starts_with(needed));
        if inside && revision < below && !is_needed {
            report.snapshot_parts_removed += usize::from(remove(kv, &key).await?);
        }
    }
    Ok(())
}

pub(crate) async fn list(kv: &Kv, prefix: &str) -> Result<Vec<String>, ConfigStoreError> {
    let prefix = prefix.to_owned();
    match kv.call(KvCall::List { prefix }).await? {
        KvReply::Keys(keys) => Ok(keys),
        _ => Err(KvError::Malformed.into()),
    }
}
