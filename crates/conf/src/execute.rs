//! Performing the calls of a replica.

use lw_plat::Kv;

use crate::action::{HeldRevision, StoreCall, StoreEvent};
use crate::chain::{Relation, load, relation};
use crate::head::{RevisionMark, StoredHead};
use crate::reconcile::reconcile;
use crate::service::{read_head, watch_head};
use crate::service_error::ConfigStoreError;
use crate::write_back::write_back;

/// Entries that a host loads with a document, so that it can repair the service when it loses its last writes.
const RECENT_ENTRIES: usize = 16;

/// Performs a call; failures are an event too.
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
        StoreCall::Fetch { stored, have } => fetch(kv, stored, have).await,
        StoreCall::WriteBack { stored, held } => write_back(kv, &stored, &held).await,
        StoreCall::Verify { stored, held } => verify(kv, &stored, &held).await,
        StoreCall::Reconcile { stored, held } => reconcile(kv, &stored, &held).await,
    };
    result.unwrap_or_else(|error| StoreEvent::Failed(error.to_string()))
}

async fn verify(
    kv: &Kv,
    stored: &StoredHead,
    held: &HeldRevision,
) -> Result<StoreEvent, ConfigStoreError> {
    let Some(head) = &stored.head else {
        return Ok(StoreEvent::HeadChanged);
    };
    match relation(kv, head, held.config.mark).await? {
        Relation::Linked(_) | Relation::Behind => Ok(StoreEvent::AlreadyIncluded),
        Relation::Forked => reconcile(kv, stored, held).await,
    }
}

async fn fetch(
    kv: &Kv,
    stored: StoredHead,
    have: Option<RevisionMark>,
) -> Result<StoreEvent, ConfigStoreError> {
    let Some(head) = &stored.head else {
        return Ok(StoreEvent::HeadChanged);
    };
    if let Some(have) = have {
        match relation(kv, head, have).await? {
            Relation::Linked(entries) if entries.iter().all(|e| e.changes.is_some()) => {
                return Ok(StoreEvent::Entries(entries));
            }
            Relation::Linked(_) | Relation::Behind => {}
            Relation::Forked => return Ok(StoreEvent::Forked(stored)),
        }
    }
    let loaded = load(kv, head, RECENT_ENTRIES).await?;
    Ok(StoreEvent::FullDocument(Box::new(loaded)))
}
