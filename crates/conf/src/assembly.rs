//! A document that arrives in parts.

use bytes::Bytes;
use lw_doc::DigestedDocument;

use crate::entry::Entry;
use crate::head::Mark;
use crate::message::{Part, PartRequest};

/// Larger documents are refused: the target size is about 3 MB.
const MAX_DOCUMENT_BYTES: u64 = 64 * 1024 * 1024;

/// The parts received so far.
#[derive(Debug)]
pub(crate) struct Assembly {
    mark: Mark,
    recent: Vec<Bytes>,
    total_bytes: u64,
    bytes: Vec<u8>,
}

impl Assembly {
    /// Starts with the first part; returns `None` for any other part.
    pub(crate) fn start(part: &Part) -> Option<Self> {
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

    /// Appends a part when it is the next one.
    pub(crate) fn append(&mut self, part: &Part) -> bool {
        let next = part.mark == self.mark && part.offset == self.bytes.len() as u64;
        if next {
            self.bytes.extend_from_slice(&part.bytes);
        }
        next && !part.bytes.is_empty()
    }

    pub(crate) fn complete(&self) -> bool {
        self.bytes.len() as u64 >= self.total_bytes
    }

    /// Returns what to ask for next.
    pub(crate) fn next_request(&self) -> PartRequest {
        PartRequest {
            mark: self.mark,
            offset: self.bytes.len() as u64,
        }
    }

    /// Returns the document and the entries up to it, oldest first; `None` when the digest or the form is wrong.
    pub(crate) fn finish(&self) -> Option<(DigestedDocument, Vec<Entry>)> {
        let decoded = self
            .recent
            .iter()
            .map(|entry| serde_json::from_slice(entry));
        let entries: Vec<Entry> = decoded.collect::<Result<_, _>>().ok()?;
        let applied = DigestedDocument::new(serde_json::from_slice(&self.bytes).ok()?);
        let named = entries.last().is_some_and(|entry| entry.mark == self.mark);
        let sound = named && applied.tree.root() == self.mark.digest;
        sound.then_some((applied, entries))
    }
}
