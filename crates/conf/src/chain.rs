//! Reads of the audit chain, backwards from the head, and documents that are rebuilt from it.

use lw_base::FastMap;
use lw_doc::{Change, DigestedDocument, Document};
use lw_plat::Kv;
use uuid::Uuid;

use crate::action::LoadedDocument;
use crate::audit_entry::AuditEntry;
use crate::chain_reader::ChainReader;
use crate::config_store_error::ConfigStoreError;
use crate::head::{Head, RevisionMark};
use crate::snapshot::read_snapshot;

/// The maximum number of entries that one read of the chain returns. A snapshot is written at least every 64 revisions,
/// so loading the full document is cheaper than reading more entries.
pub(crate) const MAX_CHAIN_READ: usize = 512;

/// The relation of a known document to the chain of a head.
pub(crate) enum ChainRelation {
    /// The known document is in the chain; the entries lead from it to the head, oldest first.
    Ancestor(Vec<AuditEntry>),
    /// The chain has another document at the revision of the known document.
    Forked,
    /// The known document is too far behind the head to compare.
    TooFarBehind,
}

/// Reads entries backwards from the head, newest first, until `keep_reading` returns false for an entry.
///
/// The read also ends at an entry that the service lost.
pub(crate) async fn read_chain(
    kv: &Kv,
    head: &Head,
    max_entries: usize,
    mut keep_reading: impl FnMut(&AuditEntry) -> bool,
) -> Result<Vec<AuditEntry>, ConfigStoreError> {
    let mut reader = ChainReader::new(kv, head);
    let mut entries = Vec::new();
    while entries.len() < max_entries {
        let Some(entry) = reader.next().await? else {
            break;
        };
        let should_continue = keep_reading(&entry);
        entries.push(entry);
        if !should_continue {
            break;
        }
    }
    Ok(entries)
}

/// Returns the relation of the document `known` to the chain of `head`.
pub(crate) async fn relation_to_chain(
    kv: &Kv,
    head: &Head,
    known: RevisionMark,
) -> Result<ChainRelation, ConfigStoreError> {
    let starts_above_known = |entry: &AuditEntry| entry.base.revision > known.revision;
    let mut entries = read_chain(kv, head, MAX_CHAIN_READ, starts_above_known).await?;
    let Some(oldest) = entries.last() else {
        return Ok(ChainRelation::TooFarBehind);
    };
    if oldest.base == known {
        entries.reverse();
        return Ok(ChainRelation::Ancestor(entries));
    }
    if oldest.base.revision > known.revision {
        return Ok(ChainRelation::TooFarBehind);
    }
    Ok(ChainRelation::Forked)
}

/// Loads the document of a head from its snapshot and the entries after the snapshot.
///
/// # Errors
///
/// Fails when the service fails or a part is missing or damaged.
pub async fn load_document(kv: &Kv, head: &Head) -> Result<Document, ConfigStoreError> {
    Ok(load(kv, head, 0).await?.document)
}

/// Loads the document of a head with at least the last `min_entries` entries, or fewer when the chain is shorter.
pub(crate) async fn load(
    kv: &Kv,
    head: &Head,
    min_entries: usize,
) -> Result<LoadedDocument, ConfigStoreError> {
    let snapshot = read_snapshot(kv, &head.snapshot).await?;
    let snapshot_revision = head.snapshot.mark.revision;
    let max_entries = match head.snapshot.mark == head.mark {
        true => min_entries,
        false => MAX_CHAIN_READ,
    };
    let mut remaining = min_entries;
    let keep_reading = |entry: &AuditEntry| {
        remaining = remaining.saturating_sub(1);
        remaining > 0 || entry.base.revision > snapshot_revision
    };
    let mut entries = read_chain(kv, head, max_entries, keep_reading).await?;
    entries.reverse();
    let later = entries
        .iter()
        .filter(|entry| entry.mark.revision > snapshot_revision);
    let document = apply_all(snapshot, later)?;
    Ok(LoadedDocument { document, entries })
}

fn apply_all<'a>(
    snapshot: DigestedDocument,
    entries: impl Iterator<Item = &'a AuditEntry>,
) -> Result<Document, ConfigStoreError> {
    let mut applied = snapshot;
    for entry in entries {
        let key = entry.key();
        let message = "an entry after the snapshot has no changes".to_owned();
        let next = entry
            .apply_to(applied)
            .ok_or(ConfigStoreError::Damaged { key, message })?;
        applied = next?;
    }
    Ok(applied.document)
}

/// Loads an older document of the chain of `head`.
///
/// # Errors
///
/// Fails when the revision is not in the chain, no snapshot at or below the revision remains, the service fails, or a
/// part is missing or damaged.
pub async fn document_at(
    kv: &Kv,
    head: &Head,
    revision: u64,
) -> Result<Document, ConfigStoreError> {
    if revision == 0 {
        return Ok(Document::default());
    }
    let mut reader = ChainReader::new(kv, head);
    let mut snapshots = FastMap::default();
    let mut newest_first: Vec<AuditEntry> = Vec::new();
    while let Some(entry) = reader.next().await? {
        snapshots.insert(entry.snapshot.mark, entry.snapshot);
        let mark = entry.mark;
        if mark.revision > revision {
            continue;
        }
        if newest_first.is_empty() && mark.revision < revision {
            break;
        }
        newest_first.push(entry);
        let Some(snapshot) = snapshots.get(&mark) else {
            continue;
        };
        match read_snapshot(kv, snapshot).await {
            Ok(applied) => {
                newest_first.pop();
                return apply_all(applied, newest_first.iter().rev());
            }
            // The retention worker removed this snapshot; continue to an older one.
            Err(ConfigStoreError::Missing { .. }) => {}
            Err(error) => return Err(error),
        }
    }
    Err(ConfigStoreError::NoRevision { revision })
}

/// Returns the entry of an operation if the chain contains it above the revision `after`.
pub(crate) async fn find_operation(
    kv: &Kv,
    head: &Head,
    operation: Uuid,
    after: u64,
) -> Result<Option<AuditEntry>, ConfigStoreError> {
    let keep_reading =
        |entry: &AuditEntry| entry.operation != operation && entry.base.revision > after;
    let entries = read_chain(kv, head, MAX_CHAIN_READ, keep_reading).await?;
    Ok(entries
        .into_iter()
        .find(|entry| entry.operation == operation))
}

/// Returns the newest change of each entity, ordered by path.
///
/// Returns `None` when an entry carries no changes.
pub(crate) fn merged_changes<'a>(
    oldest_first: impl Iterator<Item = &'a AuditEntry>,
) -> Option<Vec<Change>> {
    let mut newest = std::collections::BTreeMap::new();
    for entry in oldest_first {
        for change in entry.changes.as_ref()? {
            newest.insert(change.path.clone(), change.clone());
        }
    }
    Some(newest.into_values().collect())
}
