//! Publishes a document by compare-and-swap of the head.

use bytes::Bytes;
use lw_doc::{Change, Document, SourceMap, changes_between, validate, warnings};
use lw_plat::{Kv, KvError};

use crate::chain::{
    MAX_CHAIN_READ, document_at, find_operation, load_document, merged_changes, read_chain,
};
use crate::commit::{CommitError, NewRevision, commit};
use crate::config_store_error::ConfigStoreError;
use crate::head::{Head, RevisionMark, StoredHead};
use crate::publish_error::PublishError;
use crate::publish_request::{PublishRequest, Published};
use crate::refused_attempt::{RefusedAttempt, record_refused};
use crate::store::read_head;

/// Publishes a document, or returns the revision that the same operation published before.
///
/// # Errors
///
/// See [`PublishError`]. Refused attempts are recorded in the audit log if the service accepts the write.
pub async fn publish(kv: &Kv, request: &PublishRequest) -> Result<Published, PublishError> {
    let result = try_publish(kv, request).await;
    if let Err(error) = &result {
        record_if_refused(kv, request, error).await;
    }
    result
}

async fn try_publish(kv: &Kv, request: &PublishRequest) -> Result<Published, PublishError> {
    let faults = validate(
        &request.next,
        &SourceMap::default(),
        &request.gateway_addresses,
    );
    if !faults.is_empty() {
        return Err(PublishError::Invalid(faults));
    }
    let stored = read_head(kv).await?;
    if !is_base(request, &stored) {
        return find_own_or_conflict(kv, request, &stored).await;
    }
    let base = base_document(kv, request, stored.head.as_ref()).await?;
    let changes = changes_between(&base, &request.next);
    if changes.is_empty() {
        // The head may be the revision that an earlier attempt of this operation published.
        return find_own_or_unchanged(kv, request, &stored).await;
    }
    let warnings = warnings((request.base_revision > 0).then_some(&base), &request.next);
    if !warnings.is_empty() && !request.confirmed {
        return Err(PublishError::Unconfirmed(warnings));
    }
    let base = RevisionMark {
        revision: request.base_revision,
        digest: base.digest(),
    };
    write(kv, request, &stored, base, changes).await
}

fn is_base(request: &PublishRequest, stored: &StoredHead) -> bool {
    let digest = stored.head.as_ref().map(|head| head.mark.digest);
    let same_digest = request.base_digest.is_none() || request.base_digest == digest;
    stored.revision() == request.base_revision && same_digest
}

async fn base_document(
    kv: &Kv,
    request: &PublishRequest,
    head: Option<&Head>,
) -> Result<Document, ConfigStoreError> {
    let Some(head) = head else {
        return Ok(Document::default());
    };
    match &request.known {
        Some(known) if known.mark == head.mark => Ok((*known.document).clone()),
        _ => load_document(kv, head).await,
    }
}

async fn write(
    kv: &Kv,
    request: &PublishRequest,
    stored: &StoredHead,
    base: RevisionMark,
    changes: Vec<Change>,
) -> Result<Published, PublishError> {
    let bytes = Bytes::from(request.next.canonical_bytes());
    let content = NewRevision {
        revision: stored.revision() + 1,
        base,
        digest: request.next.digest(),
        bytes,
        changes,
        operation: request.operation,
        operator: request.operator.clone(),
        wall: request.wall,
    };
    match commit(kv, stored, content).await {
        Ok(entry) => Ok(Published {
            entry,
            document: request.next.clone(),
        }),
        Err(CommitError::Store(error)) => Err(error.into()),
        Err(CommitError::OutcomeUnknown) => Err(PublishError::Unknown),
        Err(CommitError::HeadChanged) => {
            // Either another writer changed the head, or this swap took effect and its reply was lost. The chain shows
            // which of the two happened.
            let current = read_head(kv).await.map_err(|_| PublishError::Unknown)?;
            match find_own_or_conflict(kv, request, &current).await {
                Err(PublishError::Store(_)) => Err(PublishError::Unknown),
                result => result,
            }
        }
    }
}

/// Returns the revision that this operation published if the chain of the current head contains it, and a conflict
/// otherwise.
async fn find_own_or_conflict(
    kv: &Kv,
    request: &PublishRequest,
    current: &StoredHead,
) -> Result<Published, PublishError> {
    let Some(head) = &current.head else {
        return Err(conflict(0, None));
    };
    let own = find_operation(kv, head, request.operation, request.base_revision).await?;
    if let Some(entry) = own {
        return Ok(Published {
            entry,
            document: request.next.clone(),
        });
    }
    let changes = changes_since(kv, request, head).await?;
    Err(conflict(head.mark.revision, changes))
}

async fn find_own_or_unchanged(
    kv: &Kv,
    request: &PublishRequest,
    current: &StoredHead,
) -> Result<Published, PublishError> {
    match find_own_or_conflict(kv, request, current).await {
        Err(PublishError::Conflict { head_revision, .. }) => Err(PublishError::Unchanged {
            revision: head_revision,
        }),
        result => result,
    }
}

fn conflict(head_revision: u64, changes: Option<Vec<Change>>) -> PublishError {
    PublishError::Conflict {
        head_revision,
        changes,
    }
}

async fn changes_since(
    kv: &Kv,
    request: &PublishRequest,
    head: &Head,
) -> Result<Option<Vec<Change>>, ConfigStoreError> {
    let base = request.base_revision;
    if base > head.mark.revision {
        return Ok(None);
    }
    let entries = read_chain(kv, head, MAX_CHAIN_READ, |entry| entry.base.revision > base).await?;
    if entries
        .last()
        .is_some_and(|entry| entry.base.revision == base)
        && let Some(changes) = merged_changes(entries.iter().rev())
    {
        return Ok(Some(changes));
    }
    let Ok(before) = document_at(kv, head, base).await else {
        return Ok(None);
    };
    let after = load_document(kv, head).await?;
    Ok(Some(changes_between(&before, &after)))
}

async fn record_if_refused(kv: &Kv, request: &PublishRequest, error: &PublishError) {
    let reason = match error {
        PublishError::Invalid(faults) => {
            let first = faults.first().map(ToString::to_string).unwrap_or_default();
            format!("{error}: {first}")
        }
        PublishError::Unconfirmed(warnings) => {
            let first = warnings
                .first()
                .map(ToString::to_string)
                .unwrap_or_default();
            format!("{error}: {first}")
        }
        PublishError::Conflict { .. } => error.to_string(),
        // The attempt was not refused, so there is nothing to record.
        PublishError::Unchanged { .. } | PublishError::Store(_) | PublishError::Unknown => return,
    };
    let refused = RefusedAttempt {
        operation: request.operation,
        operator: request.operator.clone(),
        wall_ms: request.wall,
        base_revision: request.base_revision,
        reason,
    };
    match record_refused(kv, &refused).await {
        Ok(()) | Err(ConfigStoreError::Kv(KvError::Unavailable | KvError::Unreachable)) => {}
        Err(error) => log::warn!("conf: cannot record a refused attempt in the audit log: {error}"),
    }
}
