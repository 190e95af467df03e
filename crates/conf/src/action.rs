//! What a replica wants done.

use std::sync::Arc;

use lw_doc::Document;

use crate::config::Config;
use crate::entry::Entry;
use crate::head::{Head, RevisionMark, StoredHead};
use crate::message::ConfMessage;

/// An action of a replica, performed by the shell.
#[derive(Clone, Debug)]
pub enum ConfAction {
    /// Sends a message to a host.
    Send {
        /// The name of the host.
        to: String,
        /// The message.
        message: ConfMessage,
    },
    /// Calls the key-value service; the event goes back to the replica.
    Call(StoreCall),
}

/// A call to the key-value service. A replica has at most one outstanding.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// Reads the head.
    ReadHead,
    /// Waits for a newer head.
    Watch {
        /// The version that is known.
        after_version: u64,
        /// The longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Reads what leads from a known document to the head.
    Fetch {
        /// The head.
        stored: StoredHead,
        /// The known document.
        have: Option<RevisionMark>,
    },
    /// Writes a held revision back after the service lost its last writes.
    WriteBack {
        /// The head that the service shows.
        stored: StoredHead,
        /// What is held.
        held: HeldRevision,
    },
    /// Finds out whether a document that this host held is in the chain of the head, and joins it when it is not.
    Verify {
        /// The head that the service shows.
        stored: StoredHead,
        /// What was held.
        held: HeldRevision,
    },
    /// Joins a held revision with a head that was published after the service had lost the held one.
    Reconcile {
        /// The head that the service shows.
        stored: StoredHead,
        /// What is held.
        held: HeldRevision,
    },
}

/// A whole document from the service.
#[derive(Clone, Debug)]
pub struct LoadedDocument {
    /// The document.
    pub document: Document,
    /// The newest entries up to the document, oldest first.
    pub entries: Vec<Entry>,
}

/// The revision in force with the entries that lead to it, oldest first.
#[derive(Clone, Debug)]
pub struct HeldRevision {
    /// The revision in force.
    pub config: Arc<Config>,
    /// The entries.
    pub entries: Vec<Arc<Entry>>,
}

/// The result of a [`StoreCall`].
#[derive(Clone, Debug)]
pub enum StoreEvent {
    /// The head as stored.
    Head(StoredHead),
    /// The head did not change during the watch.
    Unchanged,
    /// The entries that lead from the known document to the head, oldest first.
    Entries(Vec<Entry>),
    /// The whole document of a head.
    FullDocument(Box<LoadedDocument>),
    /// The chain of the head does not contain the known document.
    Forked(StoredHead),
    /// The held revision is the head again.
    WrittenBack(Head),
    /// What was held before is a part of the head.
    AlreadyIncluded,
    /// Another writer was faster; the head must be read again.
    HeadChanged,
    /// The call failed.
    Failed(String),
}
