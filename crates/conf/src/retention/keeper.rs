//! The work of the retention.

use lw_base::{FastMap, WallMs};
use lw_doc::AuditKeepDays;
use lw_plat::Kv;

use crate::head::Head;
use crate::retention::keep_report::RetentionReport;
use crate::retention::link::Link;
use crate::service::read_head;
use crate::service_error::ConfigStoreError;

/// Leftovers and orphans are looked for at this interval: the list of all entries is about 300 KB at the target size.
const CLEAN_MS: u64 = 60 * 60 * 1_000;

/// Expired blocks are looked for at this interval.
const EXPIRE_MS: u64 = 6 * 60 * 60 * 1_000;

/// Packs old entries into blocks, and removes what is older than the retention time.
///
/// Two keepers at once do no harm: blocks depend only on the chain, an entry is removed only after a block that has it
/// was read back, and the newest entry of a block goes first, which switches readers to the block.
#[derive(Debug, Default)]
pub struct RetentionWorker {
    pub(crate) links: FastMap<String, Link>,
    cleaned_at: Option<WallMs>,
    expired_at: Option<WallMs>,
}

impl RetentionWorker {
    /// Does what is due; to be repeated about every 5 minutes. A keeper that wrote a block leaves its entries for the
    /// next pass.
    ///
    /// A pass that fails leaves a sound chain, and the next one continues.
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
        if is_due(self.cleaned_at, now, CLEAN_MS) {
            self.clean(kv, boundary, &mut report).await?;
            self.cleaned_at = Some(now);
        }
        if is_due(self.expired_at, now, EXPIRE_MS) {
            expire_all(kv, &head, now, keep, &mut report).await?;
            self.expired_at = Some(now);
        }
        Ok(report)
    }
}

async fn expire_all(
    kv: &Kv,
    head: &Head,
    now: WallMs,
    keep: AuditKeepDays,
    report: &mut RetentionReport,
) -> Result<(), ConfigStoreError> {
    // A clock that is set before the retention time has nothing that is old enough.
    let Some(cutoff_ms) = now.0.checked_sub(keep.as_ms()) else {
        return Ok(());
    };
    super::expire::expire(kv, head, WallMs(cutoff_ms), report).await
}

fn is_due(last: Option<WallMs>, now: WallMs, interval_ms: u64) -> bool {
    last.is_none_or(|last| now.since_ms(last) >= interval_ms)
}
