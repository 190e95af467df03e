//! Walking the audit chain backwards from the head.

use lw_base::FastMap;
use lw_doc::{Change, DigestedDocument, Document};
use lw_plat::Kv;
use uuid::Uuid;

use crate::action::Loaded;
use crate::chain_reader::ChainReader;
use crate::entry::Entry;
use crate::head::{Head, Mark};
use crate::service_error::ServiceError;
use crate::snapshot::read_snapshot;

/// The longest walk. A snapshot is written every 64 revisions, so a longer one means that a whole document is cheaper.
pub(crate) const MAX_WALK: usize = 512;

/// How the chain of a head relates to a known document.
pub(crate) enum Relation {
    /// The known document is in the chain; the entries lead from it to the head, oldest first.
    Linked(Vec<Entry>),
    /// The chain passes the revision of the known document with another digest.
    Forked,
    /// The known document is too far behind to tell.
    Behind,
}

/// Reads entries backwards from the head, newest first, while `more` returns true for the last one read.
///
/// The walk ends at an entry that the service lost.
pub(crate) async fn walk(
    kv: &Kv,
    head: &Head,
    max_entries: usize,
    mut more: impl FnMut(&Entry) -> bool,
) -> Result<Vec<Entry>, ServiceError> {
    let mut reader = ChainReader::new(kv, head);
    let mut entries = Vec::new();
    while entries.len() < max_entries {
        let Some(entry) = reader.next().await? else {
            break;
        };
        let go_on = more(&entry);
        entries.push(entry);
        if !go_on {
            break;
        }
    }
    Ok(entries)
}

/// Finds out how `head` relates to the document `known`.
pub(crate) async fn relation(kv: &Kv, head: &Head, known: Mark) -> Result<Relation, ServiceError> {
    let above = |entry: &Entry| entry.base.revision > known.revision;
    let mut entries = walk(kv, head, MAX_WALK, above).await?;
    let Some(oldest) = entries.last() else {
        return Ok(Relation::Behind);
    };
    if oldest.base == known {
        entries.reverse();
        return Ok(Relation::Linked(entries));
    }
    if oldest.base.revision > known.revision {
        return Ok(Relation::Behind);
    }
    Ok(Relation::Forked)
}

/// Loads the document of a head from its snapshot and the entries since.
///
/// # Errors
///
/// Fails when the service fails or a part is missing or damaged.
pub async fn load_document(kv: &Kv, head: &Head) -> Result<Document, ServiceError> {
    Ok(load(kv, head, 0).await?.document)
}

/// Loads a document together with at least `min_entries` of the entries up to it, as far as the chain reaches.
pub(crate) async fn load(kv: &Kv, head: &Head, min_entries: usize) -> Result<Loaded, ServiceError> {
    let snapshot = read_snapshot(kv, &head.snapshot).await?;
    let since = head.snapshot.mark.revision;
    let wanted = match head.snapshot.mark == head.mark {
        true => min_entries,
        false => MAX_WALK,
    };
    let mut left = min_entries;
    let more = |entry: &Entry| {
        left = left.saturating_sub(1);
        left > 0 || entry.base.revision > since
    };
    let mut entries = walk(kv, head, wanted, more).await?;
    entries.reverse();
    let later = entries.iter().filter(|entry| entry.mark.revision > since);
    let document = apply_all(snapshot, later)?;
    Ok(Loaded { document, entries })
}

fn apply_all<'a>(
    snapshot: DigestedDocument,
    entries: impl Iterator<Item = &'a Entry>,
) -> Result<Document, ServiceError> {
    let mut applied = snapshot;
    for entry in entries {
        let key = entry.key();
        let message = "an entry after the snapshot has no changes".to_owned();
        let next = entry
            .apply_to(applied)
            .ok_or(ServiceError::Damaged { key, message })?;
        applied = next?;
    }
    Ok(applied.document)
}

/// Loads an older document of the chain of `head`.
///
/// # Errors
///
/// Fails when the revision is not in the chain or no snapshot leads to it any more, the service fails, or a part is missing or damaged.
pub async fn document_at(kv: &Kv, head: &Head, revision: u64) -> Result<Document, ServiceError> {
    if revision == 0 {
        return Ok(Document::default());
    }
    let mut reader = ChainReader::new(kv, head);
    let mut snapshots = FastMap::default();
    let mut newest_first: Vec<Entry> = Vec::new();
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
            // Old snapshots are thinned out; an older one leads here too.
            Err(ServiceError::Missing { .. }) => {}
            Err(error) => return Err(error),
        }
    }
    Err(ServiceError::NoRevision { revision })
}

/// Returns the entry of an operation when it is in the chain above the revision `after`.
pub(crate) async fn find_operation(
    kv: &Kv,
    head: &Head,
    operation: Uuid,
    after: u64,
) -> Result<Option<Entry>, ServiceError> {
    let searching = |entry: &Entry| entry.operation != operation && entry.base.revision > after;
    let entries = walk(kv, head, MAX_WALK, searching).await?;
    Ok(entries
        .into_iter()
        .find(|entry| entry.operation == operation))
}

/// Returns the newest change of each entity, in the order of the paths; `None` when an entry carries no changes.
pub(crate) fn joined_changes<'a>(
    oldest_first: impl Iterator<Item = &'a Entry>,
) -> Option<Vec<Change>> {
    let mut newest = std::collections::BTreeMap::new();
    for entry in oldest_first {
        for change in entry.changes.as_ref()? {
            newest.insert(change.path.clone(), change.clone());
        }
    }
    Some(newest.into_values().collect())
}
