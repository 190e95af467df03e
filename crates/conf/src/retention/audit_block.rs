//! Blocks of packed audit entries.

use bytes::Bytes;
use lw_plat::{Kv, KvCall, KvError, KvReply};
use serde::{Deserialize, Serialize};

use crate::audit_entry::AuditEntry;
use crate::config_store_error::ConfigStoreError;
use crate::keys::block_key;
use crate::store::{decode, encode};

/// The maximum number of entries in a block.
pub const MAX_BLOCK_ENTRIES: usize = 256;

/// The maximum size of a block in bytes: half of the 1 MB value limit of the key-value service. A single entry always
/// fits.
pub const MAX_BLOCK_BYTES: usize = 512 * 1024;

/// An upper bound of the encoded size of a block without its entries.
pub(crate) const BLOCK_OVERHEAD_BYTES: usize = 64;

/// Consecutive entries of the audit chain, stored in one value.
///
/// The key of a block is derived from the key of its newest entry. A reader of the chain that finds an entry absent
/// therefore finds the block without an index, and the oldest entry of the block refers to the next older one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct AuditBlock {
    /// The entries, oldest first; each is the base of the next.
    pub(crate) entries: Vec<AuditEntry>,
}

impl AuditBlock {
    pub(crate) fn encoded(&self) -> Bytes {
        encode(self)
    }

    pub(crate) fn first_revision(&self) -> u64 {
        self.entries.first().map_or(0, |entry| entry.mark.revision)
    }

    pub(crate) fn last_revision(&self) -> u64 {
        self.entries.last().map_or(0, |entry| entry.mark.revision)
    }

    /// Returns the latest time of all entries. The clocks of operators differ, so it may not be the time of the last
    /// entry.
    pub(crate) fn newest_wall_ms(&self) -> u64 {
        let walls = self.entries.iter().map(|entry| entry.wall_ms.0);
        walls.max().unwrap_or(0)
    }

    pub(crate) fn oldest_wall_ms(&self) -> u64 {
        let walls = self.entries.iter().map(|entry| entry.wall_ms.0);
        walls.min().unwrap_or(0)
    }

    /// Returns true when each entry refers to the one before it and the newest entry has the given key.
    fn is_valid(&self, newest_entry_key: &str) -> bool {
        let linked = self.entries.windows(2).all(|window| {
            window[1].base == window[0].mark && window[1].base_entry_key == Some(window[0].key())
        });
        let newest = self.entries.last();
        linked && newest.is_some_and(|entry| entry.key() == newest_entry_key)
    }
}

/// Reads the block whose newest entry has the given key. Returns `None` when there is none.
pub(crate) async fn read_block(
    kv: &Kv,
    newest_entry_key: &str,
) -> Result<Option<AuditBlock>, ConfigStoreError> {
    let key = block_key(newest_entry_key);
    match kv.call(KvCall::Get { key: key.clone() }).await? {
        KvReply::Absent => Ok(None),
        KvReply::Value { value, .. } => {
            let block: AuditBlock = decode(&key, &value)?;
            if block.is_valid(newest_entry_key) {
                return Ok(Some(block));
            }
            let message =
                "the entries do not follow each other, or the newest is not the entry in the key"
                    .to_owned();
            Err(ConfigStoreError::Damaged { key, message })
        }
        _ => Err(KvError::Malformed.into()),
    }
}
