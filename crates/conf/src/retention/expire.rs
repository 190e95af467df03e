//! Removes records that are older than the retention time.

use lw_base::WallMs;
use lw_plat::Kv;

use crate::config_store_error::ConfigStoreError;
use crate::head::Head;
use crate::keys::{
    BLOCK_PREFIX, REFUSED_PREFIX, SNAPSHOT_PREFIX, entry_key_of_block, refused_key, revision_in_key,
};
use crate::retention::audit_block::read_block;
use crate::retention::audit_floor::raise_floor;
use crate::retention::remove_packed::{list, remove};
use crate::retention::retention_report::RetentionReport;

/// Removes blocks whose entries are all before `cutoff`, the snapshots below them, and old refused attempts.
///
/// The floor is raised first and the oldest block is removed first, so a crash leaves no gap in the chain.
pub(crate) async fn expire(
    kv: &Kv,
    head: &Head,
    cutoff: WallMs,
    report: &mut RetentionReport,
) -> Result<(), ConfigStoreError> {
    let expired = expired_blocks(kv, cutoff).await?;
    if let Some(last) = expired.last() {
        let revision = revision_in_key(BLOCK_PREFIX, last).unwrap_or(0);
        raise_floor(kv, revision).await?;
        for key in &expired {
            report.blocks_expired += usize::from(remove(kv, key).await?);
        }
        remove_snapshots(kv, revision.min(head.snapshot.mark.revision), report).await?;
    }
    remove_refused(kv, cutoff, report).await
}

/// Returns the keys of the expired blocks, oldest first, up to the first block that is not expired.
async fn expired_blocks(kv: &Kv, cutoff: WallMs) -> Result<Vec<String>, ConfigStoreError> {
    let mut expired = Vec::new();
    for key in list(kv, BLOCK_PREFIX).await? {
        let Some(block) = read_block(kv, &entry_key_of_block(&key)).await? else {
            continue;
        };
        if block.newest_wall_ms() >= cutoff.0 {
            break;
        }
        expired.push(key);
    }
    Ok(expired)
}

/// Removes the snapshots below the revision `below`, because the entries that follow them were removed.
async fn remove_snapshots(
    kv: &Kv,
    below: u64,
    report: &mut RetentionReport,
) -> Result<(), ConfigStoreError> {
    for key in list(kv, SNAPSHOT_PREFIX).await? {
        if revision_in_key(SNAPSHOT_PREFIX, &key).is_some_and(|revision| revision < below) {
            report.snapshot_parts_removed += usize::from(remove(kv, &key).await?);
        }
    }
    Ok(())
}

async fn remove_refused(
    kv: &Kv,
    cutoff: WallMs,
    report: &mut RetentionReport,
) -> Result<(), ConfigStoreError> {
    let oldest_kept = refused_key(cutoff);
    for key in list(kv, REFUSED_PREFIX).await? {
        if key >= oldest_kept {
            break;
        }
        report.refused_hours_removed += usize::from(remove(kv, &key).await?);
    }
    Ok(())
}
