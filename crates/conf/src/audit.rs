//! The audit log: published revisions, from the head backwards, and refused attempts to publish.

use lw_base::WallMs;
use lw_plat::Kv;

use crate::audit_entry::AuditEntry;
use crate::chain::read_chain;
use crate::config_store_error::ConfigStoreError;
use crate::refused_attempt::{RefusedAttempt, read_refused_attempts};
use crate::retention::read_floor;
use crate::store::read_head;

/// A record of the audit log.
#[derive(Clone, Debug, PartialEq)]
pub enum AuditRecord {
    /// A published revision.
    Published(Box<AuditEntry>),
    /// A refused attempt to publish.
    Refused(RefusedAttempt),
    /// The key-value service lost the entry with this key, so older revisions are unknown.
    Gap {
        /// The key.
        key: String,
        /// The time of the oldest entry above the gap.
        wall_ms: WallMs,
    },
}

impl AuditRecord {
    fn wall_ms(&self) -> u64 {
        match self {
            Self::Published(entry) => entry.wall_ms.0,
            Self::Refused(refused) => refused.wall_ms.0,
            Self::Gap { wall_ms, .. } => wall_ms.0,
        }
    }
}

/// Returns a gap record for the missing base of the oldest entry, unless the base was removed after its retention time.
async fn gap_below(kv: &Kv, oldest: &AuditEntry) -> Result<Option<AuditRecord>, ConfigStoreError> {
    let Some(key) = oldest.base_entry_key.clone() else {
        return Ok(None);
    };
    let removed = oldest.base.revision <= read_floor(kv).await?.revision;
    let wall_ms = oldest.wall_ms;
    Ok((!removed).then_some(AuditRecord::Gap { key, wall_ms }))
}

/// The maximum number of hours of refused attempts that [`read_audit`] reads; hours without refused attempts do not
/// count.
const MAX_REFUSED_HOURS: usize = 24;

/// Reads up to `limit` records, newest first.
///
/// Published revisions are in the order of the chain, even when the clocks of operators differ.
///
/// # Errors
///
/// Fails when the service fails or a record is missing or damaged.
pub async fn read_audit(kv: &Kv, limit: usize) -> Result<Vec<AuditRecord>, ConfigStoreError> {
    let chain = match read_head(kv).await?.head {
        Some(head) => read_chain(kv, &head, limit, |_| true).await?,
        None => Vec::new(),
    };
    let gap = match chain.last().filter(|_| chain.len() < limit) {
        Some(oldest) => gap_below(kv, oldest).await?,
        None => None,
    };
    let published = chain
        .into_iter()
        .map(|entry| AuditRecord::Published(Box::new(entry)));
    let mut published = published.chain(gap).peekable();
    let refused = read_refused_attempts(kv, MAX_REFUSED_HOURS).await?;
    let mut refused = refused.into_iter().map(AuditRecord::Refused).peekable();

    let mut records = Vec::new();
    while records.len() < limit {
        let refused_is_newer = match (published.peek(), refused.peek()) {
            (Some(entry), Some(refused)) => refused.wall_ms() > entry.wall_ms(),
            (None, Some(_)) => true,
            (Some(_), None) => false,
            (None, None) => break,
        };
        let next = if refused_is_newer {
            refused.next()
        } else {
            published.next()
        };
        records.extend(next);
    }
    Ok(records)
}
