//! The cached metadata of an entry.

use crate::audit_entry::AuditEntry;

/// The position of an entry in the chain and its size, without its content.
#[derive(Clone, Debug)]
pub(crate) struct ChainLink {
    pub(crate) base_entry_key: Option<String>,
    pub(crate) revision: u64,
    pub(crate) wall_ms: u64,
    /// The size of the encoded entry.
    pub(crate) bytes: usize,
    /// True when the entry has a snapshot of its own.
    pub(crate) has_snapshot: bool,
}

impl ChainLink {
    pub(crate) fn new(entry: &AuditEntry, bytes: usize) -> Self {
        Self {
            base_entry_key: entry.base_entry_key.clone(),
            revision: entry.mark.revision,
            wall_ms: entry.wall_ms.0,
            bytes,
            has_snapshot: entry.snapshot.mark == entry.mark,
        }
    }
}
