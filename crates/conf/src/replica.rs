//! The state machine that puts higher configuration revisions in force on a host and forwards them.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use lw_base::prelude::*;
use lw_base::report_violation;
use lw_doc::{DigestedDocument, Document, Fleet, compile, recompile};

use crate::action::{ConfAction, LocalRevision};
use crate::audit_entry::AuditEntry;
use crate::call_schedule::{CallSchedule, FirstHead};
use crate::config::{Config, ConfigReader};
use crate::head::RevisionMark;
use crate::history::History;
use crate::message::{ConfMessage, MAX_PAYLOAD_BYTES};
use crate::publish_request::Published;
use crate::pull::Pull;
use crate::push_tree::PushTree;
use crate::served_document::ServedDocument;
use crate::store::encode;

/// The maximum number of remembered pushes; each push is forwarded once per tree.
const MAX_FORWARDED_PUSHES: usize = 64;

/// The maximum number of unverified revisions. A host installs full documents from peers only after a long
/// disconnection or after the service lost writes, so few are enough.
const MAX_UNVERIFIED: usize = 4;

/// The state machine of a host's configuration.
///
/// Its methods take the time and random numbers as arguments, and append actions to `out`.
pub struct Replica {
    pub(crate) host: String,
    pub(crate) tree: PushTree,
    pub(crate) config: Option<Arc<Config>>,
    pub(crate) history: History,
    pub(crate) pull: Option<Pull>,
    pub(crate) served: Option<ServedDocument>,
    pub(crate) schedule: CallSchedule,
    /// True when a peer has another document with the revision in force on this host, which must then read the head.
    pub(crate) fork_suspected: bool,
    /// The revisions that full documents from peers replaced, and that the chain of the new document may lack.
    pub(crate) unverified: VecDeque<LocalRevision>,
    /// True while the outstanding call verifies the first unverified revision.
    pub(crate) verifying: bool,
    reader: ConfigReader,
    forwarded_pushes: VecDeque<(RevisionMark, String)>,
}

impl Replica {
    /// Creates the replica of `host`, without a revision.
    #[must_use]
    pub fn new(host: &str) -> Self {
        Self {
            host: host.to_owned(),
            tree: PushTree::default(),
            config: None,
            history: History::default(),
            pull: None,
            served: None,
            schedule: CallSchedule::new(),
            fork_suspected: false,
            unverified: VecDeque::new(),
            verifying: false,
            reader: ConfigReader::default(),
            forwarded_pushes: VecDeque::new(),
        }
    }

    /// Returns a reader of the revision in force.
    #[must_use]
    pub fn reader(&self) -> ConfigReader {
        self.reader.clone()
    }

    /// Returns the revision and digest in force, for heartbeats.
    #[must_use]
    pub fn mark(&self) -> Option<RevisionMark> {
        self.config.as_ref().map(|config| config.mark)
    }

    /// Returns true when the host is a relay of its region.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.tree.is_relay(&self.host)
    }

    /// Returns true when the host is the first relay of its region.
    #[must_use]
    pub fn is_first_relay(&self) -> bool {
        self.tree.is_first(&self.host)
    }

    /// Returns true when the host has at least the revision of the first head that it read, or any revision if that
    /// read failed.
    #[must_use]
    pub fn ready(&self) -> bool {
        let Some(mark) = self.mark() else {
            return false;
        };
        match self.schedule.first_head {
            FirstHead::Unread => false,
            FirstHead::Revision(revision) => mark.revision >= revision,
            FirstHead::Failed => true,
        }
    }

    /// Sets the live hosts of the host's region, including the host itself.
    pub fn set_hosts(&mut self, region: &str, hosts: &[String]) {
        self.tree = PushTree::new(region, hosts);
    }

    /// Installs a revision that this host published, and pushes it immediately.
    pub fn on_published(&mut self, published: Published, out: &mut Vec<ConfAction>) {
        let Published { entry, document } = published;
        if self.install(DigestedDocument::new(document), entry.clone()) {
            self.push_from_here(&[entry], out);
        }
    }

    /// Applies, in order, the entries that follow the revision in force. Returns the applied entries.
    pub(crate) fn apply_entries(&mut self, entries: Vec<AuditEntry>) -> Vec<AuditEntry> {
        let mut applied = Vec::new();
        for entry in entries {
            if let Some(document) = self.document_after(&entry)
                && self.install(document, entry.clone())
            {
                applied.push(entry);
            }
        }
        applied
    }

    fn document_after(&self, entry: &AuditEntry) -> Option<DigestedDocument> {
        let current = self.mark().unwrap_or_else(empty_document_mark);
        if entry.base != current || entry.mark.revision <= current.revision {
            return None;
        }
        let base = match &self.config {
            Some(config) => DigestedDocument {
                document: (*config.document).clone(),
                tree: (*config.tree).clone(),
            },
            None => DigestedDocument::new(Document::default()),
        };
        match entry.apply_to(base)? {
            Ok(applied) => Some(applied),
            Err(error) => {
                log::warn!(
                    "conf: cannot apply revision {}: {error}",
                    entry.mark.revision
                );
                None
            }
        }
    }

    /// Puts a document of a peer in force. Unless `entries` follow the replaced revision, the replaced revision is kept
    /// until the service confirms that the chain contains it.
    pub(crate) fn install_from_peer(
        &mut self,
        document: DigestedDocument,
        entries: Vec<AuditEntry>,
    ) {
        let replaced = self.config.clone().map(|config| LocalRevision {
            config,
            entries: self.history.entries(),
        });
        let follows = |mark: &RevisionMark| entries.iter().any(|entry| entry.base == *mark);
        let linked = self.mark().as_ref().is_some_and(follows);
        if !self.install_full_document(document, entries) || linked {
            return;
        }
        self.unverified.extend(replaced);
        if self.unverified.len() > MAX_UNVERIFIED {
            self.unverified.pop_front();
        }
    }

    /// Puts a full document in force; `entries` lead up to the document, oldest first. Returns false when `entries` is
    /// empty or the revision is not higher than the one in force.
    pub(crate) fn install_full_document(
        &mut self,
        document: DigestedDocument,
        entries: Vec<AuditEntry>,
    ) -> bool {
        let Some(newest) = entries.last().cloned() else {
            return false;
        };
        let installed = self.install(document, newest);
        if installed {
            self.history.reset(entries.into_iter().map(Arc::new));
        }
        installed
    }

    /// Puts a document in force and returns true, if its revision is higher than the one in force.
    pub(crate) fn install(&mut self, applied: DigestedDocument, entry: AuditEntry) -> bool {
        let current_revision = self.mark().map_or(0, |mark| mark.revision);
        if entry.mark.revision <= current_revision {
            return false;
        }
        let entry = Arc::new(entry);
        let config = Arc::new(Config {
            mark: entry.mark,
            fleet: Arc::new(self.compile_fleet(&applied.document, &entry)),
            document: Arc::new(applied.document),
            tree: Arc::new(applied.tree),
            entry: entry.clone(),
        });
        if let Some(in_force) = self.reader.load()
            && in_force.mark.revision >= config.mark.revision
        {
            let (from, to) = (in_force.mark.revision, config.mark.revision);
            report_violation(
                Invariant::RevisionNeverReverts,
                format_args!("{from} to {to}"),
            );
            return false;
        }
        self.reader.store(config.clone());
        self.config = Some(config);
        self.history.push(entry);
        self.schedule.record_caught_up();
        self.fork_suspected = false;
        true
    }

    /// Compiles the document, or only the changes when the entry follows the revision in force.
    fn compile_fleet(&self, document: &Document, entry: &AuditEntry) -> Fleet {
        let revision = entry.mark.revision;
        match (&self.config, &entry.changes) {
            (Some(config), Some(changes)) if config.mark == entry.base => {
                recompile(&config.fleet, document, changes, revision)
            }
            _ => compile(document, revision),
        }
    }

    /// Pushes entries down the push tree whose root is this host.
    pub(crate) fn push_from_here(&mut self, entries: &[AuditEntry], out: &mut Vec<ConfAction>) {
        let Some(mark) = self.mark() else {
            return;
        };
        let mut encoded: Vec<Bytes> = entries.iter().map(encode).collect();
        let size: usize = encoded.iter().map(Bytes::len).sum();
        let lacks_changes = entries.iter().any(|entry| entry.changes.is_none());
        if lacks_changes || size > MAX_PAYLOAD_BYTES {
            encoded.clear();
        }
        let root = self.host.clone();
        self.forward_push(&root, mark, encoded, out);
    }

    /// Forwards a push to the children, once per tree and revision.
    pub(crate) fn forward_push(
        &mut self,
        root: &str,
        mark: RevisionMark,
        entries: Vec<Bytes>,
        out: &mut Vec<ConfAction>,
    ) {
        let seen = self.forwarded_pushes.iter();
        if seen
            .clone()
            .any(|(known, known_root)| *known == mark && known_root == root)
        {
            return;
        }
        self.forwarded_pushes.push_back((mark, root.to_owned()));
        if self.forwarded_pushes.len() > MAX_FORWARDED_PUSHES {
            self.forwarded_pushes.pop_front();
        }
        let message = ConfMessage::Push {
            root: root.to_owned(),
            mark,
            entries,
        };
        for child in self.tree.children(root, &self.host) {
            out.push(ConfAction::Send {
                to: child.to_owned(),
                message: message.clone(),
            });
        }
    }
}

fn empty_document_mark() -> RevisionMark {
    RevisionMark {
        revision: 0,
        digest: Document::default().digest(),
    }
}
