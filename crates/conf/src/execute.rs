//! Performs the calls of a replica to the key-value service.

use lw_plat::Kv;

use crate::action::{LocalRevision, StoreCall, StoreEvent};
use crate::chain::{ChainRelation, load, relation_to_chain};
use crate::config_store_error::ConfigStoreError;
use crate::head::{RevisionMark, StoredHead};
use crate::reconcile::reconcile;
use crate::store::{read_head, watch_head};
use crate::write_back::write_back;

/// The minimum number of entries to load with a document, so that the host can write them back if the service loses its
/// last writes.
const MIN_LOADED_ENTRIES: usize = 16;

/// Performs a call. A failure is returned as [`StoreEvent::Failed`].
pub async fn execute(kv: &Kv, call: StoreCall) -> StoreEvent {
    let result = match call {
        StoreCall::ReadHead => read_head(kv).await.map(StoreEvent::Head),
        StoreCall::Watch {
            after_version,
            wait_ms,
        } => {
            let watched = watch_head(kv, after_version, wait_ms).await;
            watched.map(|stored| stored.map_or(StoreEvent::Unchanged, StoreEvent::Head))
        }
        StoreCall::Fetch { stored, known } => fetch(kv, stored, known).await,
        StoreCall::WriteBack { stored, local } => write_back(kv, &stored, &local).await,
        StoreCall::Verify { stored, local } => verify(kv, &stored, &local).await,
        StoreCall::Reconcile { stored, local } => reconcile(kv, &stored, &local).await,
    };
    result.unwrap_or_else(|error| StoreEvent::Failed(error.to_string()))
}

async fn verify(
    kv: &Kv,
    stored: &StoredHead,
    local: &LocalRevision,
) -> Result<StoreEvent, ConfigStoreError> {
    let Some(head) = &stored.head else {
        return Ok(StoreEvent::HeadChanged);
    };
    match relation_to_chain(kv, head, local.config.mark).await? {
        ChainRelation::Ancestor(_) | ChainRelation::TooFarBehind => Ok(StoreEvent::AlreadyIncluded),
        ChainRelation::Forked => reconcile(kv, stored, local).await,
    }
}

async fn fetch(
    kv: &Kv,
    stored: StoredHead,
    known: Option<RevisionMark>,
) -> Result<StoreEvent, ConfigStoreError> {
    let Some(head) = &stored.head else {
        return Ok(StoreEvent::HeadChanged);
    };
    if let Some(known) = known {
        match relation_to_chain(kv, head, known).await? {
            ChainRelation::Ancestor(entries) if entries.iter().all(|e| e.changes.is_some()) => {
                return Ok(StoreEvent::Entries(entries));
            }
            ChainRelation::Ancestor(_) | ChainRelation::TooFarBehind => {}
            ChainRelation::Forked => return Ok(StoreEvent::Forked(stored)),
        }
    }
    let loaded = load(kv, head, MIN_LOADED_ENTRIES).await?;
    Ok(StoreEvent::FullDocument(Box::new(loaded)))
}
