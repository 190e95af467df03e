//! The configuration of one host: accepts only higher revisions and passes them on.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use lw_base::prelude::*;
use lw_base::report_violation;
use lw_doc::{DigestedDocument, Document, Fleet, compile, recompile};

use crate::action::{ConfAction, Held};
use crate::config::{Config, ConfigReader};
use crate::entry::Entry;
use crate::head::Mark;
use crate::history::History;
use crate::message::{ConfMessage, MAX_PAYLOAD_BYTES};
use crate::publish_request::Published;
use crate::pull::Pull;
use crate::relay::{Relay, SeenHead};
use crate::service::encode;
use crate::serving::Serving;
use crate::tree::Tree;

/// Pushes remembered, so that each is passed on once per tree.
const MAX_REMEMBERED_PUSHES: usize = 64;

/// Whole documents are taken from peers only after a long absence or lost writes of the service, so few are enough.
const MAX_UNVERIFIED: usize = 4;

/// The state machine of a host's configuration. Time and randomness are arguments; actions are appended to `out`.
pub struct Replica {
    pub(crate) host: String,
    pub(crate) tree: Tree,
    pub(crate) config: Option<Arc<Config>>,
    pub(crate) history: History,
    pub(crate) pull: Option<Pull>,
    pub(crate) serving: Option<Serving>,
    pub(crate) relay: Relay,
    /// Another document carries the revision that this host holds, so the service must be asked.
    pub(crate) fork_suspected: bool,
    /// What this host held before it took whole documents from peers: the new chain may not contain it.
    pub(crate) unverified: VecDeque<Held>,
    /// The outstanding call verifies the first of them.
    pub(crate) verifying: bool,
    reader: ConfigReader,
    pushes: VecDeque<(Mark, String)>,
}

impl Replica {
    /// Builds the replica of `host` without a revision.
    #[must_use]
    pub fn new(host: &str) -> Self {
        Self {
            host: host.to_owned(),
            tree: Tree::default(),
            config: None,
            history: History::default(),
            pull: None,
            serving: None,
            relay: Relay::new(),
            fork_suspected: false,
            unverified: VecDeque::new(),
            verifying: false,
            reader: ConfigReader::default(),
            pushes: VecDeque::new(),
        }
    }

    /// Returns a reader of the revision in force.
    #[must_use]
    pub fn reader(&self) -> ConfigReader {
        self.reader.clone()
    }

    /// Returns revision and digest in force, which heartbeats carry.
    #[must_use]
    pub fn mark(&self) -> Option<Mark> {
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

    /// Returns true when the host holds the highest revision that the service showed at its start, or any revision when
    /// the service failed.
    #[must_use]
    pub fn ready(&self) -> bool {
        let Some(mark) = self.mark() else {
            return false;
        };
        match self.relay.seen {
            SeenHead::Nothing => false,
            SeenHead::Revision(revision) => mark.revision >= revision,
            SeenHead::Failed => true,
        }
    }

    /// Sets the live hosts of the own region, the own host among them.
    pub fn set_hosts(&mut self, region: &str, hosts: &[String]) {
        self.tree = Tree::new(region, hosts);
    }

    /// Takes a revision that this host published, and pushes it at once.
    pub fn on_published(&mut self, published: Published, out: &mut Vec<ConfAction>) {
        let Published { entry, document } = published;
        if self.install(DigestedDocument::new(document), entry.clone()) {
            self.push_own(&[entry], out);
        }
    }

    /// Applies entries in order as far as they lead on from the revision in force; returns the applied ones.
    pub(crate) fn apply_entries(&mut self, entries: Vec<Entry>) -> Vec<Entry> {
        let mut applied = Vec::new();
        for entry in entries {
            if let Some(document) = self.next_document(&entry)
                && self.install(document, entry.clone())
            {
                applied.push(entry);
            }
        }
        applied
    }

    fn next_document(&self, entry: &Entry) -> Option<DigestedDocument> {
        let held = self.mark().unwrap_or_else(genesis_mark);
        if entry.base != held || entry.mark.revision <= held.revision {
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
                    "conf: revision {} is unusable: {error}",
                    entry.mark.revision
                );
                None
            }
        }
    }

    /// Puts a document of a peer in force, and remembers the one before until the service shows that it is a part of it.
    pub(crate) fn install_from_peer(&mut self, document: DigestedDocument, entries: Vec<Entry>) {
        let held = self.config.clone().map(|config| Held {
            config,
            entries: self.history.entries(),
        });
        let passes = |held: &Mark| entries.iter().any(|entry| entry.base == *held);
        let linked = self.mark().as_ref().is_some_and(passes);
        if !self.install_whole(document, entries) || linked {
            return;
        }
        self.unverified.extend(held);
        if self.unverified.len() > MAX_UNVERIFIED {
            self.unverified.pop_front();
        }
    }

    /// Puts a whole document in force; `entries` lead up to it, oldest first.
    pub(crate) fn install_whole(
        &mut self,
        document: DigestedDocument,
        entries: Vec<Entry>,
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

    /// Puts a document in force when its revision is higher than the one in force.
    pub(crate) fn install(&mut self, applied: DigestedDocument, entry: Entry) -> bool {
        let held = self.mark().map_or(0, |mark| mark.revision);
        if entry.mark.revision <= held {
            return false;
        }
        let entry = Arc::new(entry);
        let config = Arc::new(Config {
            mark: entry.mark,
            fleet: Arc::new(self.compiled(&applied.document, &entry)),
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
        self.relay.caught_up();
        self.fork_suspected = false;
        true
    }

    /// Compiles only the changes when the entry leads on from the revision in force.
    fn compiled(&self, document: &Document, entry: &Entry) -> Fleet {
        let revision = entry.mark.revision;
        match (&self.config, &entry.changes) {
            (Some(config), Some(changes)) if config.mark == entry.base => {
                recompile(&config.fleet, document, changes, revision)
            }
            _ => compile(document, revision),
        }
    }

    /// Pushes entries down the tree whose root is this host.
    pub(crate) fn push_own(&mut self, entries: &[Entry], out: &mut Vec<ConfAction>) {
        let Some(mark) = self.mark() else {
            return;
        };
        let mut encoded: Vec<Bytes> = entries.iter().map(encode).collect();
        let size: usize = encoded.iter().map(Bytes::len).sum();
        let whole = entries.iter().any(|entry| entry.changes.is_none());
        if whole || size > MAX_PAYLOAD_BYTES {
            encoded.clear();
        }
        let root = self.host.clone();
        self.push(&root, mark, encoded, out);
    }

    /// Passes a push on to the children, once per tree and revision.
    pub(crate) fn push(
        &mut self,
        root: &str,
        mark: Mark,
        entries: Vec<Bytes>,
        out: &mut Vec<ConfAction>,
    ) {
        let seen = self.pushes.iter();
        if seen.clone().any(|(known, by)| *known == mark && by == root) {
            return;
        }
        self.pushes.push_back((mark, root.to_owned()));
        if self.pushes.len() > MAX_REMEMBERED_PUSHES {
            self.pushes.pop_front();
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

fn genesis_mark() -> Mark {
    Mark {
        revision: 0,
        digest: Document::default().digest(),
    }
}
