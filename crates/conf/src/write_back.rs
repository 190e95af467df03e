//! Writes the revision in force back after the service lost its last writes.

use bytes::Bytes;
use lw_plat::{Kv, KvError};

use crate::action::{LocalRevision, StoreEvent};
use crate::config_store_error::ConfigStoreError;
use crate::head::{Head, StoredHead};
use crate::snapshot::{snapshot_ref, write_snapshot};
use crate::store::{encode, swap_head, write_once};

/// Writes the lost entries, a snapshot if the service may have lost the previous one, and the head.
pub(crate) async fn write_back(
    kv: &Kv,
    stored: &StoredHead,
    local: &LocalRevision,
) -> Result<StoreEvent, ConfigStoreError> {
    let lost = |revision: u64| revision > stored.revision();
    for entry in local
        .entries
        .iter()
        .filter(|entry| lost(entry.mark.revision))
    {
        write_once(kv, &entry.key(), encode(&**entry)).await?;
    }
    let head = head_with_snapshot(kv, stored, local).await?;
    match swap_head(kv, &head, stored.version).await {
        Ok(_) => Ok(StoreEvent::WrittenBack(head)),
        Err(KvError::Conflict { .. } | KvError::ReplyLost) => Ok(StoreEvent::HeadChanged),
        Err(error) => Err(error.into()),
    }
}

/// Returns the head to write back. Writes a new snapshot first if the service may have lost the old one.
async fn head_with_snapshot(
    kv: &Kv,
    stored: &StoredHead,
    local: &LocalRevision,
) -> Result<Head, ConfigStoreError> {
    let config = &local.config;
    let mut head = config.entry.head();
    if head.snapshot.mark.revision <= stored.revision() {
        return Ok(head);
    }
    let bytes = Bytes::from(config.document.canonical_bytes());
    head.snapshot = snapshot_ref(config.mark, &bytes);
    write_snapshot(kv, config.mark, &bytes).await?;
    Ok(head)
}
