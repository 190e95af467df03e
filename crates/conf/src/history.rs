//! The newest entries of a host, for replies to pulls and for repairs of the service.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;

use crate::audit_entry::AuditEntry;
use crate::head::RevisionMark;
use crate::message::{MAX_ENTRIES, MAX_PAYLOAD_BYTES};
use crate::store::encode;

/// The maximum number of entries: four snapshot intervals, so that peers that were disconnected for minutes receive
/// entries instead of the full document.
const MAX_HISTORY_ENTRIES: usize = 256;
/// The maximum size of the encoded entries, a small part of the 256 MB that the control plane of a node may use.
const MAX_HISTORY_BYTES: usize = 4 * 1024 * 1024;

/// A chain of entries up to the revision in force, oldest first.
#[derive(Debug, Default)]
pub(crate) struct History {
    items: VecDeque<(Arc<AuditEntry>, Bytes)>,
    bytes: usize,
}

impl History {
    /// Appends an entry. An entry that does not follow the last one starts a new chain.
    pub(crate) fn push(&mut self, entry: Arc<AuditEntry>) {
        let linked = self
            .items
            .back()
            .is_none_or(|(last, _)| last.mark == entry.base);
        if !linked {
            self.items.clear();
            self.bytes = 0;
        }
        let encoded = encode(&*entry);
        self.bytes += encoded.len();
        self.items.push_back((entry, encoded));
        while self.items.len() > MAX_HISTORY_ENTRIES
            || self.bytes > MAX_HISTORY_BYTES && self.items.len() > 1
        {
            if let Some((_, removed)) = self.items.pop_front() {
                self.bytes -= removed.len();
            }
        }
    }

    /// Returns true when the chain contains the document `mark`, or starts from it.
    pub(crate) fn contains(&self, mark: RevisionMark) -> bool {
        self.items
            .front()
            .is_some_and(|(first, _)| first.base == mark)
            || self.items.iter().any(|(entry, _)| entry.mark == mark)
    }

    /// Returns the revision that the chain starts from, or 0 when the chain is empty.
    pub(crate) fn first_revision(&self) -> u64 {
        let first = self.items.front();
        first.map_or(0, |(entry, _)| entry.base.revision)
    }

    pub(crate) fn entries(&self) -> Vec<Arc<AuditEntry>> {
        self.items.iter().map(|(entry, _)| entry.clone()).collect()
    }

    /// Returns the newest encoded entries within both bounds, oldest first; empty when the newest entry alone is too
    /// large.
    pub(crate) fn newest_encoded(&self, max_entries: usize, max_bytes: usize) -> Vec<Bytes> {
        let mut size = 0;
        let newest_first = self.items.iter().rev().take(max_entries);
        let fitting = newest_first.take_while(|(_, encoded)| {
            size += encoded.len();
            size <= max_bytes
        });
        let mut recent: Vec<Bytes> = fitting.map(|(_, encoded)| encoded.clone()).collect();
        recent.reverse();
        recent
    }

    /// Replaces the chain with `entries`, oldest first.
    pub(crate) fn reset(&mut self, entries: impl IntoIterator<Item = Arc<AuditEntry>>) {
        *self = Self::default();
        for entry in entries {
            self.push(entry);
        }
    }

    /// Returns the encoded entries that follow `mark`, as many as fit into a message.
    ///
    /// Returns `None` when no entry has `mark` as its base, or when that entry does not fit or carries no changes.
    pub(crate) fn entries_after(&self, mark: RevisionMark) -> Option<Vec<Bytes>> {
        let start = self
            .items
            .iter()
            .position(|(entry, _)| entry.base == mark)?;
        let mut size = 0;
        let mut fitting = Vec::new();
        for (entry, encoded) in self.items.iter().skip(start).take(MAX_ENTRIES) {
            size += encoded.len();
            // The receiver needs the changes, and a large entry does not carry them.
            if size > MAX_PAYLOAD_BYTES || entry.changes.is_none() {
                break;
            }
            fitting.push(encoded.clone());
        }
        (!fitting.is_empty()).then_some(fitting)
    }
}
