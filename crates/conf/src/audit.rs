//! The audit: published revisions from the head backwards, and refused attempts.

use lw_base::WallMs;
use lw_plat::Kv;

use crate::chain::walk;
use crate::entry::Entry;
use crate::refused::{RefusedAttempt, read_refused_attempts};
use crate::retention::read_floor;
use crate::service::read_head;
use crate::service_error::ConfigStoreError;

/// A record of the audit.
#[derive(Clone, Debug, PartialEq)]
pub enum AuditRecord {
    /// The revision is or was in force.
    Published(Box<Entry>),
    /// The attempt was refused.
    Refused(RefusedAttempt),
    /// The service lost the entry with this key, so older revisions are not known.
    Gap {
        /// The key.
        key: String,
        /// The time of the entry that follows the gap.
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

/// Returns a record of the missing base of an entry, unless it is older than the retention time.
async fn gap_after(kv: &Kv, oldest: &Entry) -> Result<Option<AuditRecord>, ConfigStoreError> {
    let Some(key) = oldest.base_entry_key.clone() else {
        return Ok(None);
    };
    let removed = oldest.base.revision <= read_floor(kv).await?.revision;
    let wall_ms = oldest.wall_ms;
    Ok((!removed).then_some(AuditRecord::Gap { key, wall_ms }))
}

/// How many hours with refused attempts an audit covers.
const REFUSED_HOURS: usize = 24;

/// Reads up to `limit` records, newest first; published revisions stay in the order of the chain.
///
/// # Errors
///
/// Fails when the service fails or a record is missing or damaged.
pub async fn read_audit(kv: &Kv, limit: usize) -> Result<Vec<AuditRecord>, ConfigStoreError> {
    let chain = match read_head(kv).await?.head {
        Some(head) => walk(kv, &head, limit, |_| true).await?,
        None => Vec::new(),
    };
    let gap = match chain.last().filter(|_| chain.len() < limit) {
        Some(oldest) => gap_after(kv, oldest).await?,
        None => None,
    };
    let published = chain
        .into_iter()
        .map(|entry| AuditRecord::Published(Box::new(entry)));
    let mut published = published.chain(gap).peekable();
    let refused = read_refused_attempts(kv, REFUSED_HOURS).await?;
    let mut refused = refused.into_iter().map(AuditRecord::Refused).peekable();

    let mut records = Vec::new();
    while records.len() < limit {
        let take_refused = match (published.peek(), refused.peek()) {
            (Some(entry), Some(refused)) => refused.wall_ms() > entry.wall_ms(),
            (None, Some(_)) => true,
            (Some(_), None) => false,
            (None, None) => break,
        };
        let next = if take_refused {
            refused.next()
        } else {
            published.next()
        };
        records.extend(next);
    }
    Ok(records)
}
