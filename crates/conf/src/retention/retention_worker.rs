//! The retention worker.

use lw_base::{FastMap, WallMs};
use lw_doc::AuditKeepDays;
use lw_plat::Kv;

use crate::config_store_error::ConfigStoreError;
use crate::head::Head;
use crate::retention::chain_link::ChainLink;
use crate::retention::retention_report::RetentionReport;
use crate::store::read_head;

/// The interval between searches for unneeded entries. Each search lists the keys of all entries, about 300 KB at the
/// target size.
const CLEAN_INTERVAL_MS: u64 = 60 * 60 * 1_000;

/// The interval between searches for expired blocks.
const EXPIRE_INTERVAL_MS: u64 = 6 * 60 * 60 * 1_000;

/// Packs old entries into blocks, and removes records that are older than the retention time.
///
/// Two workers may run concurrently: blocks depend only on the chain, an entry is removed only after a block that
/// contains it was read back, and the newest entry of a block is removed first, which switches readers to the block.
#[derive(Debug, Default)]
pub struct RetentionWorker {
    pub(crate) links: FastMap<String, ChainLink>,
    cleaned_at: Option<WallMs>,
    expired_at: Option<WallMs>,
}

impl RetentionWorker {
    /// Performs the work that is due; call it about every 5 minutes. The entries of a block that this pass writes are
    /// removed by the next pass.
    ///
    /// A failed pass leaves a valid chain, and the next pass continues.
    ///
    /// # Errors
    ///
    /// Fails when the service fails or a value is damaged.
    pub async fn pass(
        &mut self,
        kv: &Kv,
        now: WallMs,
        keep: AuditKeepDays,
    ) -> Result<RetentionReport, ConfigStoreError> {
        let mut report = RetentionReport::default();
        let Some(head) = read_head(kv).await?.head else {
            return Ok(report);
        };
        let boundary = self.pack(kv, &head, now, &mut report).await?;
        if is_due(self.cleaned_at, now, CLEAN_INTERVAL_MS) {
            self.clean(kv, boundary, &mut report).await?;
            self.cleaned_at = Some(now);
        }
        if is_due(self.expired_at, now, EXPIRE_INTERVAL_MS) {
            expire_old_records(kv, &head, now, keep, &mut report).await?;
            self.expired_at = Some(now);
        }
        Ok(report)
    }
}

async fn expire_old_records(
    kv: &Kv,
    head: &Head,
    now: WallMs,
    keep: AuditKeepDays,
    report: &mut RetentionReport,
) -> Result<(), ConfigStoreError> {
    // When the clock is less than the retention time after the Unix epoch, no record is old enough to expire.
    let Some(cutoff_ms) = now.0.checked_sub(keep.as_ms()) else {
        return Ok(());
    };
    super::expire::expire(kv, head, WallMs(cutoff_ms), report).await
}

fn is_due(last: Option<WallMs>, now: WallMs, interval_ms: u64) -> bool {
    last.is_none_or(|last| now.since_ms(last) >= interval_ms)
}
