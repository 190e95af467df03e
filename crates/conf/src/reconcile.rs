//! Merges two accepted chains: the service lost a revision, and another revision was published before a host wrote the
//! lost revision back.
//!
//! The result is the document of the service with the changes of the local chain since the fork. When both chains
//! change the same entity, the change in the chain of the service wins, because it was accepted later.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use lw_base::FastSet;
use lw_doc::{Change, Digest, Document, SourceMap, apply_changes, changes_between, validate};
use lw_plat::Kv;
use uuid::Uuid;

use crate::action::{LoadedDocument, LocalRevision, StoreEvent};
use crate::audit_entry::AuditEntry;
use crate::chain::{MAX_CHAIN_READ, load_document, merged_changes, read_chain};
use crate::commit::{CommitError, NewRevision, commit};
use crate::config_store_error::ConfigStoreError;
use crate::head::{Head, RevisionMark, StoredHead};

/// The operator of merged revisions in the audit log, followed by the operators whose changes were merged.
const MERGE_OPERATOR: &str = "recovery";

/// Publishes the merged document with a revision above both chains, unless the head already contains the local changes.
pub(crate) async fn reconcile(
    kv: &Kv,
    stored: &StoredHead,
    local: &LocalRevision,
) -> Result<StoreEvent, ConfigStoreError> {
    let Some(head) = &stored.head else {
        return Ok(StoreEvent::HeadChanged);
    };
    let theirs = load_document(kv, head).await?;
    let local_entries_after = |mark: RevisionMark| {
        let position = local.entries.iter().position(|entry| entry.base == mark);
        position.map(|start| &local.entries[start..])
    };
    let unknown_base = |entry: &AuditEntry| local_entries_after(entry.base).is_none();
    let their_entries = read_chain(kv, head, MAX_CHAIN_READ, unknown_base).await?;
    let oldest = their_entries.last();
    let ours = oldest.and_then(|entry| local_entries_after(entry.base));
    let lost = lost_changes(ours, &their_entries);
    let merged = merge(&theirs, &lost);
    if merged == theirs && head.mark.revision > local.config.mark.revision {
        return Ok(full_document(theirs, their_entries));
    }
    let content = merged_revision(head, local, &theirs, &merged, merge_operator(ours));
    publish_merged(kv, stored, content, merged, their_entries).await
}

/// Returns the changes of the local chain to entities that the chain of the service does not change.
fn lost_changes(ours: Option<&[Arc<AuditEntry>]>, theirs: &[AuditEntry]) -> Vec<Change> {
    let Some(ours) = ours.and_then(|ours| merged_changes(ours.iter().map(|entry| &**entry))) else {
        log::error!(
            "conf: the local chain and the published chain have no known common revision; local changes are dropped"
        );
        return Vec::new();
    };
    let Some(theirs) = merged_changes(theirs.iter().rev()) else {
        log::error!(
            "conf: an entry of the published chain carries no changes; local changes are dropped"
        );
        return Vec::new();
    };
    let changed_paths: FastSet<&str> = theirs.iter().map(|change| change.path.as_str()).collect();
    let is_unchanged = |change: &Change| !changed_paths.contains(change.path.as_str());
    ours.into_iter().filter(is_unchanged).collect()
}

fn merge(theirs: &Document, lost: &[Change]) -> Document {
    let Ok(merged) = apply_changes(theirs, lost) else {
        return theirs.clone();
    };
    let faults = validate(&merged, &SourceMap::default(), &[]);
    if let Some(fault) = faults.first() {
        log::error!(
            "conf: local changes are dropped, because the merged document is invalid: {fault}"
        );
        return theirs.clone();
    }
    merged
}

fn full_document(document: Document, newest_first: Vec<AuditEntry>) -> StoreEvent {
    let entries = newest_first.into_iter().rev().collect();
    StoreEvent::FullDocument(Box::new(LoadedDocument { document, entries }))
}

fn merge_operator(ours: Option<&[Arc<AuditEntry>]>) -> String {
    let entries = ours.unwrap_or_default().iter();
    let names: BTreeSet<&str> = entries.map(|entry| entry.operator.as_str()).collect();
    let names: Vec<&str> = names.into_iter().collect();
    format!("{MERGE_OPERATOR} {}", names.join(" "))
}

fn merged_revision(
    head: &Head,
    local: &LocalRevision,
    theirs: &Document,
    merged: &Document,
    operator: String,
) -> NewRevision {
    let mark = local.config.mark;
    NewRevision {
        revision: mark.revision.max(head.mark.revision) + 1,
        base: head.mark,
        digest: merged.digest(),
        bytes: Bytes::from(merged.canonical_bytes()),
        changes: changes_between(theirs, merged),
        operation: merge_operation(mark, head.mark),
        operator,
        wall: local.config.entry.wall_ms,
    }
}

async fn publish_merged(
    kv: &Kv,
    stored: &StoredHead,
    content: NewRevision,
    document: Document,
    their_entries: Vec<AuditEntry>,
) -> Result<StoreEvent, ConfigStoreError> {
    match commit(kv, stored, content).await {
        Ok(entry) => {
            let mut entries = their_entries;
            entries.insert(0, entry);
            Ok(full_document(document, entries))
        }
        Err(CommitError::HeadChanged | CommitError::OutcomeUnknown) => Ok(StoreEvent::HeadChanged),
        Err(CommitError::Store(error)) => Err(error),
    }
}

/// Derives the operation from both chains, so that hosts that merge the same chains write the same entry.
fn merge_operation(ours: RevisionMark, theirs: RevisionMark) -> Uuid {
    let digest = Digest::of(&[ours.digest.0, theirs.digest.0].concat());
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&digest.0[..16]);
    uuid::Builder::from_random_bytes(bytes).into_uuid()
}
