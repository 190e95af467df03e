//! Removing entries that no reader needs: leftovers of packed blocks, and attempts that lost a race.

use lw_plat::Kv;

use crate::keys::{ENTRY_PREFIX, revision_of};
use crate::retention::audit_block::read_block;
use crate::retention::audit_floor::read_floor;
use crate::retention::keep_report::RetentionReport;
use crate::retention::keeper::RetentionWorker;
use crate::retention::unpack::{list, remove};
use crate::service_error::ConfigStoreError;

impl RetentionWorker {
    /// Removes entries up to `boundary`, the newest entry that only a block has.
    ///
    /// An entry that no block has may go when a block covers its revision: the head is far above it, so the swap that
    /// would put it in force fails.
    pub(crate) async fn clean(
        &self,
        kv: &Kv,
        boundary: Option<String>,
        report: &mut RetentionReport,
    ) -> Result<(), ConfigStoreError> {
        let floor = read_floor(kv).await?.revision;
        let keys = list(kv, ENTRY_PREFIX).await?;
        let mut left: Vec<(u64, String)> = keys
            .into_iter()
            .filter(|key| !self.links.contains_key(key))
            .filter_map(|key| Some((revision_of(ENTRY_PREFIX, &key)?, key)))
            .collect();
        remove_where(kv, &mut left, report, |revision| revision <= floor).await?;
        let mut next = boundary;
        while let Some(newest) = next.take() {
            let limit = revision_of(ENTRY_PREFIX, &newest).unwrap_or(0);
            if !left.iter().any(|(revision, _)| *revision <= limit) {
                break;
            }
            let Some(block) = read_block(kv, &newest).await? else {
                break;
            };
            let covered = block.first_revision()..=block.last_revision();
            remove_where(kv, &mut left, report, |revision| {
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

async fn remove_where(
    kv: &Kv,
    left: &mut Vec<(u64, String)>,
    report: &mut RetentionReport,
    goes: impl Fn(u64) -> bool,
) -> Result<(), ConfigStoreError> {
    let (going, staying) = std::mem::take(left)
        .into_iter()
        .partition(|(revision, _)| goes(*revision));
    *left = staying;
    let going: Vec<(u64, String)> = going;
    for (_, key) in going {
        report.entries_dropped += usize::from(remove(kv, &key).await?);
    }
    Ok(())
}
