//! A document that peers fetch in parts.

use bytes::Bytes;
use lw_base::MonoMs;

use crate::config::Config;
use crate::entry::Entry;
use crate::head::RevisionMark;
use crate::history::History;
use crate::message::{Part, PartRequest};
use crate::service::encode;

/// Document bytes of one part.
pub(crate) const PART_BYTES: usize = 32 * 1024;
/// Entries that travel with a document, so that a restarted host can repair the service when it loses writes.
const MAX_RECENT_ENTRIES: usize = 32;
const MAX_RECENT_BYTES: usize = 16 * 1024;
/// A document that nobody fetched for this time is dropped.
const KEEP_MS: u64 = 5_000;

/// The canonical bytes of one revision, frozen while peers fetch them.
#[derive(Debug)]
pub(crate) struct Serving {
    mark: RevisionMark,
    recent: Vec<Bytes>,
    bytes: Bytes,
    used_at: MonoMs,
}

impl Serving {
    pub(crate) fn new(config: &Config, history: &History, now: MonoMs) -> Self {
        let mut recent = history.recent(MAX_RECENT_ENTRIES, MAX_RECENT_BYTES);
        if recent.is_empty() {
            let short = Entry {
                changes: None,
                ..(*config.entry).clone()
            };
            recent.push(encode(&short));
        }
        Self {
            mark: config.mark,
            recent,
            bytes: Bytes::from(config.document.canonical_bytes()),
            used_at: now,
        }
    }

    /// Returns true when `request` asks for this document.
    pub(crate) fn serves(&self, request: &PartRequest) -> bool {
        self.mark == request.mark && request.offset < self.bytes.len() as u64
    }

    /// Returns true while peers may still fetch further parts.
    pub(crate) fn in_use(&self, now: MonoMs) -> bool {
        now.since_ms(self.used_at) < KEEP_MS
    }

    pub(crate) fn mark(&self) -> RevisionMark {
        self.mark
    }

    pub(crate) fn part(&mut self, offset: u64, now: MonoMs) -> Part {
        self.used_at = now;
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let start = start.min(self.bytes.len());
        let end = self.bytes.len().min(start + PART_BYTES);
        Part {
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
