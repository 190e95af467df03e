//! Performing the calls of a replica.

use lw_plat::Kv;

use crate::action::{Held, ServiceCall, ServiceEvent};
use crate::chain::{Relation, load, relation};
use crate::head::{Mark, StoredHead};
use crate::reconcile::reconcile;
use crate::service::{read_head, watch_head};
use crate::service_error::ServiceError;
use crate::write_back::write_back;

/// Entries that a host loads with a document, so that it can repair the service when it loses its last writes.
const RECENT_ENTRIES: usize = 16;

/// Performs a call; failures are an event too.
pub async fn execute(kv: &Kv, call: ServiceCall) -> ServiceEvent {
    let result = match call {
        ServiceCall::ReadHead => read_head(kv).await.map(ServiceEvent::Head),
        ServiceCall::Watch {
            after_version,
            wait_ms,
        } => {
            let watched = watch_head(kv, after_version, wait_ms).await;
            watched.map(|stored| stored.map_or(ServiceEvent::Unchanged, ServiceEvent::Head))
        }
        ServiceCall::Fetch { stored, have } => fetch(kv, stored, have).await,
        ServiceCall::WriteBack { stored, held } => write_back(kv, &stored, &held).await,
        ServiceCall::Verify { stored, held } => verify(kv, &stored, &held).await,
        ServiceCall::Reconcile { stored, held } => reconcile(kv, &stored, &held).await,
    };
    result.unwrap_or_else(|error| ServiceEvent::Failed(error.to_string()))
}

async fn verify(kv: &Kv, stored: &StoredHead, held: &Held) -> Result<ServiceEvent, ServiceError> {
    let Some(head) = &stored.head else {
        return Ok(ServiceEvent::Overtaken);
    };
    match relation(kv, head, held.config.mark).await? {
        Relation::Linked(_) | Relation::Behind => Ok(ServiceEvent::Settled),
        Relation::Forked => reconcile(kv, stored, held).await,
    }
}

async fn fetch(
    kv: &Kv,
    stored: StoredHead,
    have: Option<Mark>,
) -> Result<ServiceEvent, ServiceError> {
    let Some(head) = &stored.head else {
        return Ok(ServiceEvent::Overtaken);
    };
    if let Some(have) = have {
        match relation(kv, head, have).await? {
            Relation::Linked(entries) if entries.iter().all(|e| e.changes.is_some()) => {
                return Ok(ServiceEvent::Entries(entries));
            }
            Relation::Linked(_) | Relation::Behind => {}
            Relation::Forked => return Ok(ServiceEvent::Forked(stored)),
        }
    }
    let loaded = load(kv, head, RECENT_ENTRIES).await?;
    Ok(ServiceEvent::Whole(Box::new(loaded)))
}
