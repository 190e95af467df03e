//! Reading the audit chain backwards, through single entries and blocks.

use lw_plat::Kv;

use crate::entry::Entry;
use crate::head::Head;
use crate::retention::read_block;
use crate::service::read_entry;
use crate::service_error::ConfigStoreError;

/// Reads the entries of a chain, newest first.
pub(crate) struct ChainReader<'a> {
    kv: &'a Kv,
    next_key: Option<String>,
    /// The rest of the last block, oldest first.
    packed: Vec<Entry>,
    /// Below a block there are only blocks, unless a keeper is at work.
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

    /// Returns the next older entry; `None` at the end of the chain or at an entry that is absent.
    pub(crate) async fn next(&mut self) -> Result<Option<Entry>, ConfigStoreError> {
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

    async fn find(&mut self, key: &str) -> Result<Option<Entry>, ConfigStoreError> {
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
        // An entry is removed only when its block is there, so this order misses neither.
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
