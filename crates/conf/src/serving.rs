//! A document that peers fetch in parts.

use bytes::Bytes;
use lw_base::MonoMs;

use crate::config::Config;
use crate::entry::Entry;
use crate::head::Mark;
use crate::message::{Part, PartRequest};
use crate::service::encode;

/// Document bytes of one part.
pub(crate) const PART_BYTES: usize = 32 * 1024;
/// Entries above this size travel without their changes.
const MAX_ENTRY_BYTES: usize = 8 * 1024;
/// A document that nobody fetched for this time is dropped.
const KEEP_MS: u64 = 5_000;

/// The canonical bytes of one revision, frozen while peers fetch them.
#[derive(Debug)]
pub(crate) struct Serving {
    mark: Mark,
    entry: Bytes,
    bytes: Bytes,
    used_at: MonoMs,
}

impl Serving {
    pub(crate) fn new(config: &Config, now: MonoMs) -> Self {
        let mut entry = encode(&*config.entry);
        if entry.len() > MAX_ENTRY_BYTES {
            let short = Entry {
                changes: None,
                ..(*config.entry).clone()
            };
            entry = encode(&short);
        }
        Self {
            mark: config.mark,
            entry,
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

    pub(crate) fn mark(&self) -> Mark {
        self.mark
    }

    pub(crate) fn part(&mut self, offset: u64, now: MonoMs) -> Part {
        self.used_at = now;
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let start = start.min(self.bytes.len());
        let end = self.bytes.len().min(start + PART_BYTES);
        Part {
            mark: self.mark,
            entry: self.entry.clone(),
            total_bytes: self.bytes.len() as u64,
            offset,
            bytes: self.bytes.slice(start..end),
        }
    }
}
