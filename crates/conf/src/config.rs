//! The configuration in force, with lock-free reads.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use lw_doc::{DigestTree, Document, Fleet};

use crate::audit_entry::AuditEntry;
use crate::head::RevisionMark;

/// The revision in force on this host.
#[derive(Clone, Debug)]
pub struct Config {
    /// The revision and the digest.
    pub mark: RevisionMark,
    /// The document.
    pub document: Arc<Document>,
    /// The digest tree of the document.
    pub tree: Arc<DigestTree>,
    /// The compiled document.
    pub fleet: Arc<Fleet>,
    /// The audit entry of the revision.
    pub entry: Arc<AuditEntry>,
}

/// A lock-free reader of the revision in force. Clones read the same revision.
#[derive(Clone, Default)]
pub struct ConfigReader {
    cell: Arc<ArcSwapOption<Config>>,
}

impl ConfigReader {
    /// Returns the revision in force, or `None` before the first one.
    #[must_use]
    pub fn load(&self) -> Option<Arc<Config>> {
        self.cell.load_full()
    }

    pub(crate) fn store(&self, config: Arc<Config>) {
        self.cell.store(Some(config));
    }
}
