//! Actions that a replica returns, and the results of its calls to the key-value service.

use std::sync::Arc;

use lw_doc::Document;

use crate::audit_entry::AuditEntry;
use crate::config::Config;
use crate::head::{Head, RevisionMark, StoredHead};
use crate::message::ConfMessage;

/// An action that a replica returns; [`ReplicaDriver`](crate::ReplicaDriver) performs it.
#[derive(Clone, Debug)]
pub enum ConfAction {
    /// Sends a message to a host.
    Send {
        /// The name of the host.
        to: String,
        /// The message.
        message: ConfMessage,
    },
    /// Calls the key-value service. The driver passes the resulting event to the replica.
    Call(StoreCall),
}

/// A call to the key-value service. A replica has at most one outstanding call.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// Reads the head.
    ReadHead,
    /// Waits for a newer head.
    Watch {
        /// The stored version of the head that the replica knows.
        after_version: u64,
        /// The longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Reads the entries from a known document to the head, or the full document of the head.
    Fetch {
        /// The head.
        stored: StoredHead,
        /// The known document.
        known: Option<RevisionMark>,
    },
    /// Writes the revision in force to the service again after the service lost its last writes.
    WriteBack {
        /// The head that the service returned.
        stored: StoredHead,
        /// The revision in force.
        local: LocalRevision,
    },
    /// Checks whether the chain of the head contains a document that was in force on this host, and merges the document
    /// if it does not.
    Verify {
        /// The head that the service returned.
        stored: StoredHead,
        /// The revision that was in force.
        local: LocalRevision,
    },
    /// Merges the revision in force with a head that was published after the service had lost that revision.
    Reconcile {
        /// The head that the service returned.
        stored: StoredHead,
        /// The revision in force.
        local: LocalRevision,
    },
}

/// A full document, read from the service.
#[derive(Clone, Debug)]
pub struct LoadedDocument {
    /// The document.
    pub document: Document,
    /// The newest entries up to the document, oldest first.
    pub entries: Vec<AuditEntry>,
}

/// A revision that is or was in force on this host, with the entries that lead to it.
#[derive(Clone, Debug)]
pub struct LocalRevision {
    /// The revision.
    pub config: Arc<Config>,
    /// The entries, oldest first.
    pub entries: Vec<Arc<AuditEntry>>,
}

/// The result of a [`StoreCall`].
#[derive(Clone, Debug)]
pub enum StoreEvent {
    /// The head as stored.
    Head(StoredHead),
    /// The head did not change during the watch.
    Unchanged,
    /// The entries that lead from the known document to the head, oldest first.
    Entries(Vec<AuditEntry>),
    /// The full document of a head.
    FullDocument(Box<LoadedDocument>),
    /// The chain of the head has another document at the revision of the known document.
    Forked(StoredHead),
    /// The revision in force was written back and is the head again.
    WrittenBack(Head),
    /// The chain of the head contains the verified revision, or is too far ahead to compare.
    AlreadyIncluded,
    /// The head must be read again: it is absent, another writer changed it, or the outcome of a write is unknown.
    HeadChanged,
    /// The call failed.
    Failed(String),
}
