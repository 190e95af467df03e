//! What the packing remembers about an entry.

use crate::entry::Entry;

/// The place of an entry in the chain, without its content.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    pub(crate) base_entry_key: Option<String>,
    pub(crate) revision: u64,
    pub(crate) wall_ms: u64,
    pub(crate) bytes: usize,
    /// True when the entry has a snapshot of its own.
    pub(crate) has_snapshot: bool,
}

impl Link {
    pub(crate) fn new(entry: &Entry, bytes: usize) -> Self {
        Self {
            base_entry_key: entry.base_entry_key.clone(),
            revision: entry.mark.revision,
            wall_ms: entry.wall_ms.0,
            bytes,
            has_snapshot: entry.snapshot.mark == entry.mark,
        }
    }
}
