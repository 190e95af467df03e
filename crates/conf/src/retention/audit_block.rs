//! Blocks of packed audit entries.

use bytes::Bytes;
use lw_plat::{Kv, KvCall, KvError, KvReply};
use serde::{Deserialize, Serialize};

use crate::entry::Entry;
use crate::keys::block_key;
use crate::service::{decode, encode};
use crate::service_error::ConfigStoreError;

/// The most entries of a block.
pub const MAX_BLOCK_ENTRIES: usize = 256;

/// The most bytes of a block: half of the 1 MB that the key-value service takes. An entry alone always fits.
pub const MAX_BLOCK_BYTES: usize = 512 * 1024;

/// The bytes of a block around its entries.
pub(crate) const BLOCK_FRAME_BYTES: usize = 64;

/// A part of the audit chain in one value.
///
/// Its key follows from the key of its newest entry. A reader that walks the chain and misses an entry thus finds the
/// block without an index, and the oldest entry names the next one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct AuditBlock {
    /// The entries, oldest first; each one is the base of the next one.
    pub(crate) entries: Vec<Entry>,
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

    /// Returns the newest time of an entry; the clocks of operators differ, so it need not be that of the last one.
    pub(crate) fn newest_wall_ms(&self) -> u64 {
        let walls = self.entries.iter().map(|entry| entry.wall_ms.0);
        walls.max().unwrap_or(0)
    }

    pub(crate) fn oldest_wall_ms(&self) -> u64 {
        let walls = self.entries.iter().map(|entry| entry.wall_ms.0);
        walls.min().unwrap_or(0)
    }

    /// Returns true when the entries are linked and the newest one has the given key.
    fn is_sound(&self, newest_entry_key: &str) -> bool {
        let linked = self.entries.windows(2).all(|pair| {
            pair[1].base == pair[0].mark && pair[1].base_entry_key == Some(pair[0].key())
        });
        let newest = self.entries.last();
        linked && newest.is_some_and(|entry| entry.key() == newest_entry_key)
    }
}

/// Reads the block whose newest entry has the given key; `None` when there is none.
pub(crate) async fn read_block(
    kv: &Kv,
    newest_entry_key: &str,
) -> Result<Option<AuditBlock>, ConfigStoreError> {
    let key = block_key(newest_entry_key);
    match kv.call(KvCall::Get { key: key.clone() }).await? {
        KvReply::Absent => Ok(None),
        KvReply::Value { value, .. } => {
            let block: AuditBlock = decode(&key, &value)?;
            if block.is_sound(newest_entry_key) {
                return Ok(Some(block));
            }
            let message = "the entries are not linked".to_owned();
            Err(ConfigStoreError::Damaged { key, message })
        }
        _ => Err(KvError::Malformed.into()),
    }
}
