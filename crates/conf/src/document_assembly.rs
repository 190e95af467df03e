//! Reassembly of a document that a peer sends in parts.

use bytes::Bytes;
use lw_doc::DigestedDocument;

use crate::audit_entry::AuditEntry;
use crate::head::RevisionMark;
use crate::message::{DocumentPart, PartRequest};

/// The maximum size of an accepted document; at the target size a document has about 3 MB.
const MAX_DOCUMENT_BYTES: u64 = 64 * 1024 * 1024;

/// The parts received so far.
#[derive(Debug)]
pub(crate) struct DocumentAssembly {
    mark: RevisionMark,
    recent: Vec<Bytes>,
    total_bytes: u64,
    bytes: Vec<u8>,
}

impl DocumentAssembly {
    /// Starts an assembly from the first part of a document.
    ///
    /// Returns `None` for a later part and for a document above [`MAX_DOCUMENT_BYTES`].
    pub(crate) fn start(part: &DocumentPart) -> Option<Self> {
        if part.offset != 0 || part.total_bytes > MAX_DOCUMENT_BYTES {
            return None;
        }
        Some(Self {
            mark: part.mark,
            recent: part.recent.clone(),
            total_bytes: part.total_bytes,
            bytes: Vec::new(),
        })
    }

    /// Appends `part` if it is the next part. Returns true when bytes were appended.
    pub(crate) fn append(&mut self, part: &DocumentPart) -> bool {
        let is_next = part.mark == self.mark && part.offset == self.bytes.len() as u64;
        if is_next {
            self.bytes.extend_from_slice(&part.bytes);
        }
        is_next && !part.bytes.is_empty()
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.bytes.len() as u64 >= self.total_bytes
    }

    /// Returns the request for the next part.
    pub(crate) fn next_request(&self) -> PartRequest {
        PartRequest {
            mark: self.mark,
            offset: self.bytes.len() as u64,
        }
    }

    /// Returns the document and the entries up to it, oldest first.
    ///
    /// Returns `None` when the document or an entry cannot be decoded, or when the last entry or the digest is not that
    /// of the document.
    pub(crate) fn finish(&self) -> Option<(DigestedDocument, Vec<AuditEntry>)> {
        let decoded = self
            .recent
            .iter()
            .map(|entry| serde_json::from_slice(entry));
        let entries: Vec<AuditEntry> = decoded.collect::<Result<_, _>>().ok()?;
        let applied = DigestedDocument::new(serde_json::from_slice(&self.bytes).ok()?);
        let entry_matches = entries.last().is_some_and(|entry| entry.mark == self.mark);
        let is_valid = entry_matches && applied.tree.root() == self.mark.digest;
        is_valid.then_some((applied, entries))
    }
}
