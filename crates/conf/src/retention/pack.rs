//! Packs old entries into blocks.

use lw_base::{FastMap, WallMs};
use lw_plat::{Kv, KvCall, KvError, KvReply};

use crate::audit_entry::AuditEntry;
use crate::commit::REVISIONS_PER_SNAPSHOT;
use crate::config_store_error::ConfigStoreError;
use crate::head::Head;
use crate::keys::block_key;
use crate::retention::audit_block::{
    AuditBlock, BLOCK_OVERHEAD_BYTES, MAX_BLOCK_BYTES, MAX_BLOCK_ENTRIES, read_block,
};
use crate::retention::chain_link::ChainLink;
use crate::retention::remove_packed::remove_packed;
use crate::retention::retention_report::RetentionReport;
use crate::retention::retention_worker::RetentionWorker;
use crate::store::{decode, read_entry, write_once};

/// The number of newest entries that are never packed: twice as many as hosts keep to write back what the service lost.
const MIN_UNPACKED_REVISIONS: u64 = 512;

/// A block with more entries than this ends before the next entry with a snapshot, because a further snapshot interval
/// would not fit.
const MAX_ENTRIES_BEFORE_ALIGNMENT: usize = MAX_BLOCK_ENTRIES - REVISIONS_PER_SNAPSHOT as usize;

/// The minimum age of packed entries; newer entries may be among the last writes that the service loses.
const MIN_PACK_AGE_MS: u64 = 60 * 60 * 1_000;

/// The maximum number of unpacked entries, ten days at the target size. A longer chain is not packed, because its links
/// would exceed the memory of a node.
const MAX_UNPACKED_ENTRIES: usize = 360_000;

impl RetentionWorker {
    /// Writes the blocks that are due, and removes the entries whose blocks are already stored.
    ///
    /// Returns the key of the newest entry that is not stored as a single value.
    pub(crate) async fn pack(
        &mut self,
        kv: &Kv,
        head: &Head,
        now: WallMs,
        report: &mut RetentionReport,
    ) -> Result<Option<String>, ConfigStoreError> {
        let (tail, boundary) = self.read_tail(kv, head).await?;
        let mut may_remove = true;
        for block in plan(&tail, head, now) {
            let Some((newest, _)) = block.last() else {
                continue;
            };
            match read_block(kv, newest).await? {
                Some(stored) if may_remove => {
                    remove_packed(kv, head, &stored, report).await?;
                    for (key, _) in block {
                        self.links.remove(key);
                    }
                }
                // Entries are removed only in the order of the chain.
                Some(_) => {}
                None => {
                    may_remove = false;
                    write_block(kv, block).await?;
                    report.blocks_written += 1;
                }
            }
        }
        Ok(boundary)
    }

    /// Returns the entries that are stored as single values, oldest first, and the key of the next older entry.
    async fn read_tail(
        &mut self,
        kv: &Kv,
        head: &Head,
    ) -> Result<(Vec<(String, ChainLink)>, Option<String>), ConfigStoreError> {
        let mut tail = Vec::new();
        let mut next = Some(head.entry_key.clone());
        while let Some(key) = next.take() {
            if tail.len() == MAX_UNPACKED_ENTRIES {
                log::warn!(
                    "conf: the audit log is not packed: it has more than {MAX_UNPACKED_ENTRIES} unpacked entries"
                );
                return Ok((Vec::new(), None));
            }
            let Some(link) = self.link(kv, &key).await? else {
                next = Some(key);
                break;
            };
            next.clone_from(&link.base_entry_key);
            tail.push((key, link));
        }
        let links: FastMap<String, ChainLink> = tail.iter().cloned().collect();
        self.links = links;
        tail.reverse();
        Ok((tail, next))
    }

    async fn link(&mut self, kv: &Kv, key: &str) -> Result<Option<ChainLink>, ConfigStoreError> {
        if let Some(link) = self.links.get(key) {
            return Ok(Some(link.clone()));
        }
        match kv.call(KvCall::Get { key: key.into() }).await? {
            KvReply::Value { value, .. } => {
                let entry: AuditEntry = decode(key, &value)?;
                let link = ChainLink::new(&entry, value.len());
                // The link is cached even if a later call fails, so that each entry is read only once while the service
                // is slow.
                self.links.insert(key.to_owned(), link.clone());
                Ok(Some(link))
            }
            KvReply::Absent => Ok(None),
            _ => Err(KvError::Malformed.into()),
        }
    }
}

/// Splits the old entries of the tail into blocks. The same chain is always split at the same entries.
///
/// A block starts at an entry with a snapshot where possible. A block is planned only when the entry that follows the
/// block is also old enough.
fn plan<'a>(
    tail: &'a [(String, ChainLink)],
    head: &Head,
    now: WallMs,
) -> Vec<&'a [(String, ChainLink)]> {
    let is_old = |link: &ChainLink| {
        link.revision + MIN_UNPACKED_REVISIONS <= head.mark.revision
            && now.since_ms(WallMs(link.wall_ms)) >= MIN_PACK_AGE_MS
    };
    let old = tail.iter().take_while(|(_, link)| is_old(link)).count();
    let mut blocks = Vec::new();
    let (mut start, mut bytes) = (0, BLOCK_OVERHEAD_BYTES);
    for (index, (_, link)) in tail[..old].iter().enumerate() {
        let next_bytes = bytes + link.bytes + 1;
        let is_full = index - start == MAX_BLOCK_ENTRIES || next_bytes > MAX_BLOCK_BYTES;
        let ends_at_snapshot = link.has_snapshot && index - start > MAX_ENTRIES_BEFORE_ALIGNMENT;
        if index > start && (is_full || ends_at_snapshot) {
            blocks.push(&tail[start..index]);
            (start, bytes) = (index, BLOCK_OVERHEAD_BYTES);
        }
        bytes += link.bytes + 1;
    }
    blocks
}

async fn write_block(kv: &Kv, block: &[(String, ChainLink)]) -> Result<(), ConfigStoreError> {
    let mut entries = Vec::with_capacity(block.len());
    for (key, _) in block {
        entries.push(read_entry(kv, key).await?);
    }
    let Some((newest, _)) = block.last() else {
        return Ok(());
    };
    let value = AuditBlock { entries }.encoded();
    Ok(write_once(kv, &block_key(newest), value).await?)
}
