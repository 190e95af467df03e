//! The newest entries of a host, for answers to pulls and for repairs of the service.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;

use crate::entry::Entry;
use crate::head::RevisionMark;
use crate::message::{MAX_ENTRIES, MAX_PAYLOAD_BYTES};
use crate::service::encode;

/// Entries kept: as many as lie between four snapshots, so that peers that were away for minutes get entries.
const MAX_KEPT_ENTRIES: usize = 256;
/// Bytes kept, a small part of the 256 MB that the control work of a node may use.
const MAX_KEPT_BYTES: usize = 4 * 1024 * 1024;

/// A chain of entries up to the revision in force, oldest first.
#[derive(Debug, Default)]
pub(crate) struct History {
    items: VecDeque<(Arc<Entry>, Bytes)>,
    bytes: usize,
}

impl History {
    /// Appends an entry; an entry of another base starts a new chain.
    pub(crate) fn push(&mut self, entry: Arc<Entry>) {
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
        while self.items.len() > MAX_KEPT_ENTRIES
            || self.bytes > MAX_KEPT_BYTES && self.items.len() > 1
        {
            if let Some((_, removed)) = self.items.pop_front() {
                self.bytes -= removed.len();
            }
        }
    }

    /// Returns true when the chain passes through `mark`.
    pub(crate) fn contains(&self, mark: RevisionMark) -> bool {
        self.items
            .front()
            .is_some_and(|(first, _)| first.base == mark)
            || self.items.iter().any(|(entry, _)| entry.mark == mark)
    }

    /// Returns the lowest revision that the chain knows.
    pub(crate) fn first_revision(&self) -> u64 {
        let first = self.items.front();
        first.map_or(0, |(entry, _)| entry.base.revision)
    }

    pub(crate) fn entries(&self) -> Vec<Arc<Entry>> {
        self.items.iter().map(|(entry, _)| entry.clone()).collect()
    }

    /// Returns the newest encoded entries within the bounds, oldest first; empty when the newest alone is too large.
    pub(crate) fn recent(&self, max_entries: usize, max_bytes: usize) -> Vec<Bytes> {
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

    /// Replaces the chain by `entries`, oldest first.
    pub(crate) fn reset(&mut self, entries: impl IntoIterator<Item = Arc<Entry>>) {
        *self = Self::default();
        for entry in entries {
            self.push(entry);
        }
    }

    /// Returns the encoded entries that follow `mark`, as many as fit into a message.
    ///
    /// Returns `None` when the chain does not pass through `mark` or the next entry does not fit.
    pub(crate) fn after(&self, mark: RevisionMark) -> Option<Vec<Bytes>> {
        let start = self
            .items
            .iter()
            .position(|(entry, _)| entry.base == mark)?;
        let mut size = 0;
        let mut fitting = Vec::new();
        for (entry, encoded) in self.items.iter().skip(start).take(MAX_ENTRIES) {
            size += encoded.len();
            // A host that lacks the base needs the changes, which a large entry leaves out.
            if size > MAX_PAYLOAD_BYTES || entry.changes.is_none() {
                break;
            }
            fitting.push(encoded.clone());
        }
        (!fitting.is_empty()).then_some(fitting)
    }
}
