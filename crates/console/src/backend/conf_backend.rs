//! The backend on top of the configuration crate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lw_conf::{
    AuditRecord, ConfigStoreError, PublishError, PublishRequest, ReplicaDriver, load_document,
    prepare_rollback, read_audit, read_head,
};
use lw_doc::Document;
use lw_plat::Kv;

use crate::backend::audit_row::{AuditOutcome, AuditRow};
use crate::backend::backend_closures::Backend;
use crate::backend::backend_error::BackendError;
use crate::backend::publish_command::PublishCommand;
use crate::backend::publish_outcome::PublishOutcome;
use crate::backend::status_row::StatusRow;
use crate::backend::stored_document::StoredDocument;

/// The time limit for reading a newer head from the key-value service; when it expires, the console uses the revision
/// that this host has loaded, if any.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(1);

/// The dependencies of the backend.
pub struct ConfBackendDeps {
    /// The configuration replica of this host.
    pub replica: Arc<ReplicaDriver>,
    /// The key-value service.
    pub kv: Kv,
    /// Reads the status of the hosts that this host knows.
    pub status: Arc<dyn Fn() -> Vec<StatusRow> + Send + Sync>,
    /// Returns the addresses of the gateway's own listeners.
    pub gateway_addresses: Arc<dyn Fn() -> Vec<SocketAddr> + Send + Sync>,
}

impl Backend {
    /// Creates a backend that uses the replica of this host and the key-value service.
    #[must_use]
    pub fn from_conf(deps: ConfBackendDeps) -> Self {
        let status = deps.status.clone();
        let gateway_addresses = deps.gateway_addresses.clone();
        let deps = Arc::new(deps);
        let (current_deps, revision_deps, audit_deps) = (deps.clone(), deps.clone(), deps.clone());
        Self {
            current: Arc::new(move || {
                let deps = current_deps.clone();
                Box::pin(async move { current(&deps).await })
            }),
            revision: Arc::new(move |number| {
                let deps = revision_deps.clone();
                Box::pin(async move { revision(&deps, number).await })
            }),
            publish: Arc::new(move |command| {
                let deps = deps.clone();
                Box::pin(async move { publish(&deps, command).await })
            }),
            audit: Arc::new(move |limit| {
                let deps = audit_deps.clone();
                Box::pin(async move { audit(&deps, limit).await })
            }),
            status,
            gateway_addresses,
        }
    }
}

impl From<ConfigStoreError> for BackendError {
    fn from(error: ConfigStoreError) -> Self {
        Self {
            message: error.to_string(),
        }
    }
}

/// Returns the revision in force: the one that this host has loaded, or a newer one from the key-value service.
async fn current(deps: &ConfBackendDeps) -> Result<StoredDocument, BackendError> {
    let loaded = deps.replica.reader().load().map(|config| StoredDocument {
        revision: config.mark.revision,
        digest: config.mark.digest,
        document: config.document.clone(),
    });
    let newer = tokio::time::timeout(HEAD_READ_TIMEOUT, newer_head(deps, loaded.as_ref())).await;
    match (newer, loaded) {
        (Ok(Ok(Some(newer))), _) => Ok(newer),
        (_, Some(loaded)) => Ok(loaded),
        (Ok(Ok(None)), None) => Ok(StoredDocument::new(0, Document::default())),
        (Ok(Err(error)), None) => Err(error.into()),
        (Err(_), None) => Err(BackendError {
            message: "the key-value service did not answer in time".to_owned(),
        }),
    }
}

async fn newer_head(
    deps: &ConfBackendDeps,
    loaded: Option<&StoredDocument>,
) -> Result<Option<StoredDocument>, ConfigStoreError> {
    let Some(head) = read_head(&deps.kv).await?.head else {
        return Ok(None);
    };
    if loaded.is_some_and(|loaded| loaded.revision >= head.mark.revision) {
        return Ok(None);
    }
    let document = load_document(&deps.kv, &head).await?;
    Ok(Some(StoredDocument {
        revision: head.mark.revision,
        digest: head.mark.digest,
        document: Arc::new(document),
    }))
}

async fn revision(
    deps: &ConfBackendDeps,
    number: u64,
) -> Result<Option<StoredDocument>, BackendError> {
    if number == 0 {
        return Ok(Some(StoredDocument::new(0, Document::default())));
    }
    match prepare_rollback(&deps.kv, number).await {
        Ok(found) => Ok(Some(StoredDocument::new(number, found.document))),
        Err(ConfigStoreError::NoRevision { .. } | ConfigStoreError::Missing { .. }) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

async fn publish(deps: &ConfBackendDeps, command: PublishCommand) -> PublishOutcome {
    let request = PublishRequest {
        base_revision: command.base_revision,
        // Revision 0 means that nothing is published yet, so there is no digest to compare.
        base_digest: (command.base_revision > 0).then_some(command.base_digest),
        next: command.document,
        operator: command.operator,
        operation: command.operation,
        wall: command.now,
        gateway_addresses: (deps.gateway_addresses)(),
        confirmed: true,
        known: None,
    };
    let error = match deps.replica.publish(request).await {
        Ok(published) => {
            let revision = published.entry.mark.revision;
            return PublishOutcome::Published { revision };
        }
        Err(error) => error,
    };
    let reason = error.to_string();
    let faults = match error {
        PublishError::Conflict { .. } => return conflict(deps, reason).await,
        PublishError::Unknown => return PublishOutcome::Unknown { reason },
        PublishError::Invalid(faults) => faults,
        PublishError::Unconfirmed(_) | PublishError::Unchanged { .. } | PublishError::Store(_) => {
            Vec::new()
        }
    };
    PublishOutcome::Refused { reason, faults }
}

async fn conflict(deps: &ConfBackendDeps, reason: String) -> PublishOutcome {
    match current(deps).await {
        Ok(head) => PublishOutcome::Conflict { head },
        Err(_) => PublishOutcome::Refused {
            reason,
            faults: Vec::new(),
        },
    }
}

async fn audit(deps: &ConfBackendDeps, limit: usize) -> Result<Vec<AuditRow>, BackendError> {
    let records = read_audit(&deps.kv, limit).await?;
    Ok(records.into_iter().map(audit_row).collect())
}

fn audit_row(record: AuditRecord) -> AuditRow {
    match record {
        AuditRecord::Published(entry) => AuditRow {
            at: entry.wall_ms,
            operator: entry.operator,
            base_revision: entry.base.revision,
            outcome: AuditOutcome::Published {
                revision: entry.mark.revision,
            },
            changed_paths: entry
                .changes
                .map(|changes| changes.into_iter().map(|change| change.path).collect()),
        },
        AuditRecord::Refused(refused) => AuditRow {
            at: refused.wall_ms,
            operator: refused.operator,
            base_revision: refused.base_revision,
            outcome: AuditOutcome::Refused {
                reason: refused.reason,
            },
            changed_paths: None,
        },
        AuditRecord::Gap { wall_ms, .. } => AuditRow {
            at: wall_ms,
            operator: String::new(),
            base_revision: 0,
            outcome: AuditOutcome::Gap,
            changed_paths: None,
        },
    }
}
