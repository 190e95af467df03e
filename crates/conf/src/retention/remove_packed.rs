//! Removes the entries that a block replaces, and surplus snapshots.

use lw_plat::{Kv, KvCall, KvError, KvReply};

use crate::audit_entry::AuditEntry;
use crate::config_store_error::ConfigStoreError;
use crate::head::Head;
use crate::keys::{SNAPSHOT_PREFIX, revision_in_key};
use crate::retention::audit_block::AuditBlock;
use crate::retention::retention_report::RetentionReport;

const DAY_MS: u64 = 24 * 60 * 60 * 1_000;
/// The maximum number of attempts to remove a key before the pass fails.
const MAX_REMOVE_ATTEMPTS: usize = 4;

/// Removes the entries that a stored block contains, and the snapshots that are no longer needed.
pub(crate) async fn remove_packed(
    kv: &Kv,
    head: &Head,
    block: &AuditBlock,
    report: &mut RetentionReport,
) -> Result<(), ConfigStoreError> {
    remove_surplus_snapshots(kv, head, block, report).await?;
    // The newest entry is removed first: readers use the block only once that entry is absent.
    for entry in block.entries.iter().rev() {
        report.entries_packed += usize::from(remove(kv, &entry.key()).await?);
    }
    Ok(())
}

/// Removes a key and returns only when the key is known to be absent. Returns false when the key was absent before.
pub(crate) async fn remove(kv: &Kv, key: &str) -> Result<bool, ConfigStoreError> {
    let mut sent = false;
    for _ in 0..MAX_REMOVE_ATTEMPTS {
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

/// Removes the snapshots of a block, except one per day and the snapshots that replace the changes of a large entry.
/// Older documents are rebuilt from the remaining snapshots.
async fn remove_surplus_snapshots(
    kv: &Kv,
    head: &Head,
    block: &AuditBlock,
    report: &mut RetentionReport,
) -> Result<(), ConfigStoreError> {
    let starts_day = block.oldest_wall_ms() / DAY_MS != block.newest_wall_ms() / DAY_MS;
    // The snapshot of the first revision is kept too, because the chain starts from it.
    let has_snapshot = |entry: &&AuditEntry| entry.snapshot.mark == entry.mark;
    let first = block.entries.iter().find(has_snapshot);
    let first = first.filter(|_| starts_day).map(|entry| entry.mark);
    let is_needed = |entry: &&AuditEntry| {
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
        let Some(revision) = revision_in_key(SNAPSHOT_PREFIX, &key) else {
            continue;
        };
        let in_block = (block.first_revision()..=block.last_revision()).contains(&revision);
        let name = key.strip_prefix(SNAPSHOT_PREFIX).unwrap_or_default();
        let is_needed = needed.iter().any(|needed| name.starts_with(needed));
        if in_block && revision < below && !is_needed {
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
