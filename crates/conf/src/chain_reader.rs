//! Reads the audit chain backwards, across single entries and blocks of packed entries.

use lw_plat::Kv;

use crate::audit_entry::AuditEntry;
use crate::config_store_error::ConfigStoreError;
use crate::head::Head;
use crate::retention::read_block;
use crate::store::read_entry;

/// Reads the entries of a chain, newest first.
pub(crate) struct ChainReader<'a> {
    kv: &'a Kv,
    next_key: Option<String>,
    /// The entries of the current block that were not returned yet, oldest first.
    packed: Vec<AuditEntry>,
    /// True after the first block was read. Older entries are normally in blocks too, so blocks are looked up first.
    /// While a retention worker runs, entries below a block may still be stored as single values.
    in_blocks: bool,
    read_any: bool,
}

impl<'a> ChainReader<'a> {
    pub(crate) fn new(kv: &'a Kv, head: &Head) -> Self {
        Self {
            kv,
            next_key: Some(head.entry_key.clone()),
            packed: Vec::new(),
            in_blocks: false,
            read_any: false,
        }
    }

    /// Returns the next older entry.
    ///
    /// Returns `None` at the end of the chain or at an absent entry; an absent first entry is an error.
    pub(crate) async fn next(&mut self) -> Result<Option<AuditEntry>, ConfigStoreError> {
        let Some(key) = self.next_key.take() else {
            return Ok(None);
        };
        let Some(entry) = self.find(&key).await? else {
            return match self.read_any {
                true => Ok(None),
                false => Err(ConfigStoreError::Missing { key }),
            };
        };
        self.read_any = true;
        self.next_key.clone_from(&entry.base_entry_key);
        Ok(Some(entry))
    }

    async fn find(&mut self, key: &str) -> Result<Option<AuditEntry>, ConfigStoreError> {
        if let Some(entry) = self.packed.pop() {
            return Ok(Some(entry));
        }
        if self.in_blocks && self.open_block(key).await? {
            return Ok(self.packed.pop());
        }
        match read_entry(self.kv, key).await {
            Ok(entry) => return Ok(Some(entry)),
            Err(ConfigStoreError::Missing { .. }) => {}
            Err(error) => return Err(error),
        }
        // An entry is removed only after its block was written, so reading the entry first cannot miss both.
        self.open_block(key).await?;
        Ok(self.packed.pop())
    }

    async fn open_block(&mut self, key: &str) -> Result<bool, ConfigStoreError> {
        let Some(block) = read_block(self.kv, key).await? else {
            return Ok(false);
        };
        self.packed = block.entries;
        self.in_blocks = true;
        Ok(true)
    }
}
