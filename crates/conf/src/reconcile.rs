//! Joining two chains that both were accepted: the service lost a revision, and another one was published before any
//! host could write the lost one back.
//!
//! The result is the document of the service with the changes of the held chain since the fork. Where both chains
//! change the same entity, the service's chain decides, because it was accepted later.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use lw_base::FastSet;
use lw_doc::{Change, Digest, Document, SourceMap, apply_changes, changes_between, validate};
use lw_plat::Kv;
use uuid::Uuid;

use crate::action::{HeldRevision, LoadedDocument, StoreEvent};
use crate::chain::{MAX_WALK, joined_changes, load_document, walk};
use crate::commit::{Commit, CommitError, commit};
use crate::entry::Entry;
use crate::head::{Head, RevisionMark, StoredHead};
use crate::service_error::ConfigStoreError;

/// Joined revisions carry this name in the audit, followed by the operators whose changes were joined.
const OPERATOR: &str = "recovery";

/// Publishes the joined document with a revision above both chains, unless the head contains the held changes.
pub(crate) async fn reconcile(
    kv: &Kv,
    stored: &StoredHead,
    held: &HeldRevision,
) -> Result<StoreEvent, ConfigStoreError> {
    let Some(head) = &stored.head else {
        return Ok(StoreEvent::HeadChanged);
    };
    let theirs = load_document(kv, head).await?;
    let held_since = |mark: RevisionMark| {
        let position = held.entries.iter().position(|entry| entry.base == mark);
        position.map(|start| &held.entries[start..])
    };
    let unknown_base = |entry: &Entry| held_since(entry.base).is_none();
    let their_entries = walk(kv, head, MAX_WALK, unknown_base).await?;
    let oldest = their_entries.last();
    let ours = oldest.and_then(|entry| held_since(entry.base));
    let missing = missing_changes(ours, &their_entries);
    let joined = join(&theirs, &missing);
    if joined == theirs && head.mark.revision > held.config.mark.revision {
        return Ok(whole(theirs, their_entries));
    }
    let content = content_of(head, held, &theirs, &joined, operator_of(ours));
    publish_joined(kv, stored, content, joined, their_entries).await
}

/// Returns the changes of the held chain to entities that the service's chain does not touch.
fn missing_changes(ours: Option<&[Arc<Entry>]>, theirs: &[Entry]) -> Vec<Change> {
    let Some(ours) = ours.and_then(|ours| joined_changes(ours.iter().map(|entry| &**entry))) else {
        log::error!("conf: the held chain has no known fork point; its last changes are dropped");
        return Vec::new();
    };
    let Some(theirs) = joined_changes(theirs.iter().rev()) else {
        log::error!(
            "conf: the published chain replaced the whole document; held changes are dropped"
        );
        return Vec::new();
    };
    let touched: FastSet<&str> = theirs.iter().map(|change| change.path.as_str()).collect();
    let untouched = |change: &Change| !touched.contains(change.path.as_str());
    ours.into_iter().filter(untouched).collect()
}

fn join(theirs: &Document, missing: &[Change]) -> Document {
    let Ok(joined) = apply_changes(theirs, missing) else {
        return theirs.clone();
    };
    let faults = validate(&joined, &SourceMap::default(), &[]);
    if let Some(fault) = faults.first() {
        log::error!("conf: held changes are dropped, because they do not fit the head: {fault}");
        return theirs.clone();
    }
    joined
}

fn whole(document: Document, newest_first: Vec<Entry>) -> StoreEvent {
    let entries = newest_first.into_iter().rev().collect();
    StoreEvent::FullDocument(Box::new(LoadedDocument { document, entries }))
}

fn operator_of(ours: Option<&[Arc<Entry>]>) -> String {
    let entries = ours.unwrap_or_default().iter();
    let names: BTreeSet<&str> = entries.map(|entry| entry.operator.as_str()).collect();
    let names: Vec<&str> = names.into_iter().collect();
    format!("{OPERATOR} {}", names.join(" "))
}

fn content_of(
    head: &Head,
    held: &HeldRevision,
    theirs: &Document,
    joined: &Document,
    operator: String,
) -> Commit {
    let mark = held.config.mark;
    Commit {
        revision: mark.revision.max(head.mark.revision) + 1,
        base: head.mark,
        digest: joined.digest(),
        bytes: Bytes::from(joined.canonical_bytes()),
        changes: changes_between(theirs, joined),
        operation: operation_of(mark, head.mark),
        operator,
        wall: held.config.entry.wall_ms,
    }
}

async fn publish_joined(
    kv: &Kv,
    stored: &StoredHead,
    content: Commit,
    document: Document,
    their_entries: Vec<Entry>,
) -> Result<StoreEvent, ConfigStoreError> {
    match commit(kv, stored, content).await {
        Ok(entry) => {
            let mut entries = their_entries;
            entries.insert(0, entry);
            Ok(whole(document, entries))
        }
        Err(CommitError::Swapped | CommitError::Unknown) => Ok(StoreEvent::HeadChanged),
        Err(CommitError::Store(error)) => Err(error),
    }
}

/// Hosts that join the same two chains use the same operation, so their entries coincide.
fn operation_of(ours: RevisionMark, theirs: RevisionMark) -> Uuid {
    let digest = Digest::of(&[ours.digest.0, theirs.digest.0].concat());
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&digest.0[..16]);
    uuid::Builder::from_random_bytes(bytes).into_uuid()
}
