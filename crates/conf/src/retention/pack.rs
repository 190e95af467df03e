//! Packing old entries into blocks.

use lw_base::{FastMap, WallMs};
use lw_plat::{Kv, KvCall, KvError, KvReply};

use crate::commit::REVISIONS_PER_SNAPSHOT;
use crate::entry::Entry;
use crate::head::Head;
use crate::keys::block_key;
use crate::retention::audit_block::{
    AuditBlock, BLOCK_FRAME_BYTES, MAX_BLOCK_BYTES, MAX_BLOCK_ENTRIES, read_block,
};
use crate::retention::keep_report::RetentionReport;
use crate::retention::keeper::RetentionWorker;
use crate::retention::link::Link;
use crate::retention::unpack::unpack;
use crate::service::{decode, read_entry, write_once};
use crate::service_error::ConfigStoreError;

/// The newest entries stay as they are: twice as many as hosts hold to write back what the service lost.
const KEPT_REVISIONS: u64 = 512;

/// A block of more entries ends at the next snapshot, because one more interval would not fit.
const NEARLY_FULL: usize = MAX_BLOCK_ENTRIES - REVISIONS_PER_SNAPSHOT as usize;

/// Younger entries may be among the last writes that the service loses.
const PACK_AGE_MS: u64 = 60 * 60 * 1_000;

/// A chain that is longer than ten days at the target size is not packed, because its links would not fit into the
/// memory of a node.
const MAX_TAIL: usize = 360_000;

impl RetentionWorker {
    /// Writes the blocks that are due and removes the entries of those that were there before.
    ///
    /// Returns the key of the newest entry that is in no value of its own.
    pub(crate) async fn pack(
        &mut self,
        kv: &Kv,
        head: &Head,
        now: WallMs,
        report: &mut RetentionReport,
    ) -> Result<Option<String>, ConfigStoreError> {
        let (tail, boundary) = self.read_tail(kv, head).await?;
        let mut may_unpack = true;
        for block in plan(&tail, head, now) {
            let Some((newest, _)) = block.last() else {
                continue;
            };
            match read_block(kv, newest).await? {
                Some(stored) if may_unpack => {
                    unpack(kv, head, &stored, report).await?;
                    for (key, _) in block {
                        self.links.remove(key);
                    }
                }
                // Entries are removed in the order of the chain only.
                Some(_) => {}
                None => {
                    may_unpack = false;
                    write_block(kv, block).await?;
                    report.blocks_written += 1;
                }
            }
        }
        Ok(boundary)
    }

    /// Returns the entries down to the first one that has no value of its own, oldest first, and the key of that one.
    async fn read_tail(
        &mut self,
        kv: &Kv,
        head: &Head,
    ) -> Result<(Vec<(String, Link)>, Option<String>), ConfigStoreError> {
        let mut tail = Vec::new();
        let mut next = Some(head.entry_key.clone());
        while let Some(key) = next.take() {
            if tail.len() == MAX_TAIL {
                log::warn!("conf: the audit has more than {MAX_TAIL} unpacked entries");
                return Ok((Vec::new(), None));
            }
            let Some(link) = self.link(kv, &key).await? else {
                next = Some(key);
                break;
            };
            next.clone_from(&link.base_entry_key);
            tail.push((key, link));
        }
        let keep: FastMap<String, Link> = tail.iter().cloned().collect();
        self.links = keep;
        tail.reverse();
        Ok((tail, next))
    }

    async fn link(&mut self, kv: &Kv, key: &str) -> Result<Option<Link>, ConfigStoreError> {
        if let Some(link) = self.links.get(key) {
            return Ok(Some(link.clone()));
        }
        match kv.call(KvCall::Get { key: key.into() }).await? {
            KvReply::Value { value, .. } => {
                let entry: Entry = decode(key, &value)?;
                let link = Link::new(&entry, value.len());
                // What was read is kept when a later call fails, so that a slow service is read only once.
                self.links.insert(key.to_owned(), link.clone());
                Ok(Some(link))
            }
            KvReply::Absent => Ok(None),
            _ => Err(KvError::Malformed.into()),
        }
    }
}

/// Cuts the old part of the tail into blocks; the same chain is always cut at the same places.
///
/// A block starts at an entry with a snapshot where it can, and is planned only when the entry that follows it is
/// known.
fn plan<'a>(tail: &'a [(String, Link)], head: &Head, now: WallMs) -> Vec<&'a [(String, Link)]> {
    let is_old = |link: &Link| {
        link.revision + KEPT_REVISIONS <= head.mark.revision
            && now.since_ms(WallMs(link.wall_ms)) >= PACK_AGE_MS
    };
    let old = tail.iter().take_while(|(_, link)| is_old(link)).count();
    let mut blocks = Vec::new();
    let (mut start, mut bytes) = (0, BLOCK_FRAME_BYTES);
    for (index, (_, link)) in tail[..old].iter().enumerate() {
        let grown = bytes + link.bytes + 1;
        let full = index - start == MAX_BLOCK_ENTRIES || grown > MAX_BLOCK_BYTES;
        let ends = link.has_snapshot && index - start > NEARLY_FULL;
        if index > start && (full || ends) {
            blocks.push(&tail[start..index]);
            (start, bytes) = (index, BLOCK_FRAME_BYTES);
        }
        bytes += link.bytes + 1;
    }
    blocks
}

async fn write_block(kv: &Kv, block: &[(String, Link)]) -> Result<(), ConfigStoreError> {
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
