//! Removes entries that no reader needs: entries that remained although a block contains them, and entries of attempts
//! to publish that failed.

use lw_plat::Kv;

use crate::config_store_error::ConfigStoreError;
use crate::keys::{ENTRY_PREFIX, revision_in_key};
use crate::retention::audit_block::read_block;
use crate::retention::audit_floor::read_floor;
use crate::retention::remove_packed::{list, remove};
use crate::retention::retention_report::RetentionReport;
use crate::retention::retention_worker::RetentionWorker;

impl RetentionWorker {
    /// Removes unneeded entries up to `boundary`, the newest entry that is stored only in a block.
    ///
    /// An entry that is in no block is removed when a block covers its revision: the head is far above it, so a swap of
    /// the head to that entry would fail.
    pub(crate) async fn clean(
        &self,
        kv: &Kv,
        boundary: Option<String>,
        report: &mut RetentionReport,
    ) -> Result<(), ConfigStoreError> {
        let floor = read_floor(kv).await?.revision;
        let keys = list(kv, ENTRY_PREFIX).await?;
        let mut remaining: Vec<(u64, String)> = keys
            .into_iter()
            .filter(|key| !self.links.contains_key(key))
            .filter_map(|key| Some((revision_in_key(ENTRY_PREFIX, &key)?, key)))
            .collect();
        remove_matching(kv, &mut remaining, report, |revision| revision <= floor).await?;
        let mut next = boundary;
        while let Some(newest) = next.take() {
            let newest_revision = revision_in_key(ENTRY_PREFIX, &newest).unwrap_or(0);
            if !remaining
                .iter()
                .any(|(revision, _)| *revision <= newest_revision)
            {
                break;
            }
            let Some(block) = read_block(kv, &newest).await? else {
                break;
            };
            let covered = block.first_revision()..=block.last_revision();
            remove_matching(kv, &mut remaining, report, |revision| {
                covered.contains(&revision)
            })
            .await?;
            next = block
                .entries
                .first()
                .and_then(|oldest| oldest.base_entry_key.clone());
        }
        Ok(())
    }
}

async fn remove_matching(
    kv: &Kv,
    remaining: &mut Vec<(u64, String)>,
    report: &mut RetentionReport,
    should_remove: impl Fn(u64) -> bool,
) -> Result<(), ConfigStoreError> {
    let (removed, others) = std::mem::take(remaining)
        .into_iter()
        .partition(|(revision, _)| should_remove(*revision));
    *remaining = others;
    let removed: Vec<(u64, String)> = removed;
    for (_, key) in removed {
        report.entries_dropped += usize::from(remove(kv, &key).await?);
    }
    Ok(())
}
