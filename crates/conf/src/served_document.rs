//! A document that this host sends to peers in parts.

use bytes::Bytes;
use lw_base::MonoMs;

use crate::audit_entry::AuditEntry;
use crate::config::Config;
use crate::head::RevisionMark;
use crate::history::History;
use crate::message::{DocumentPart, PartRequest};
use crate::store::encode;

/// The maximum number of document bytes in a part.
pub(crate) const MAX_PART_BYTES: usize = 32 * 1024;
/// The maximum number of entries sent with a document, which a restarted host can write back if the service loses
/// writes.
const MAX_RECENT_ENTRIES: usize = 32;
const MAX_RECENT_BYTES: usize = 16 * 1024;
/// The time after which a document that no peer fetches is dropped.
const IDLE_TIMEOUT_MS: u64 = 5_000;

/// The canonical bytes of one revision, unchanged while peers fetch them.
#[derive(Debug)]
pub(crate) struct ServedDocument {
    mark: RevisionMark,
    recent: Vec<Bytes>,
    bytes: Bytes,
    used_at: MonoMs,
}

impl ServedDocument {
    pub(crate) fn new(config: &Config, history: &History, now: MonoMs) -> Self {
        let mut recent = history.newest_encoded(MAX_RECENT_ENTRIES, MAX_RECENT_BYTES);
        if recent.is_empty() {
            let without_changes = AuditEntry {
                changes: None,
                ..(*config.entry).clone()
            };
            recent.push(encode(&without_changes));
        }
        Self {
            mark: config.mark,
            recent,
            bytes: Bytes::from(config.document.canonical_bytes()),
            used_at: now,
        }
    }

    /// Returns true when `request` is for a part of this document.
    pub(crate) fn matches_request(&self, request: &PartRequest) -> bool {
        self.mark == request.mark && request.offset < self.bytes.len() as u64
    }

    /// Returns true while peers may still fetch further parts.
    pub(crate) fn is_in_use(&self, now: MonoMs) -> bool {
        now.since_ms(self.used_at) < IDLE_TIMEOUT_MS
    }

    pub(crate) fn mark(&self) -> RevisionMark {
        self.mark
    }

    pub(crate) fn part(&mut self, offset: u64, now: MonoMs) -> DocumentPart {
        self.used_at = now;
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let start = start.min(self.bytes.len());
        let end = self.bytes.len().min(start + MAX_PART_BYTES);
        DocumentPart {
            mark: self.mark,
            recent: match offset {
                0 => self.recent.clone(),
                _ => Vec::new(),
            },
            total_bytes: self.bytes.len() as u64,
            offset,
            bytes: self.bytes.slice(start..end),
        }
    }
}
