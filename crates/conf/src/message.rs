//! Messages between hosts about the configuration.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::head::RevisionMark;

/// Payload bytes of a message; with its other fields it stays below the 64 KiB of a peer frame.
pub const MAX_PAYLOAD_BYTES: usize = 48 * 1024;

/// Messages above this size are not read.
pub const MAX_MESSAGE_BYTES: usize = 60 * 1024;

/// Entries in one message.
pub(crate) const MAX_ENTRIES: usize = 64;

/// A message, carried as opaque bytes by the peer transport.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfMessage {
    /// Pushes new revisions down a tree.
    Push {
        /// The host at the root of the tree.
        root: String,
        /// The newest revision.
        mark: RevisionMark,
        /// The entries that lead to it, oldest first; empty when they are too large, so that receivers pull.
        entries: Vec<Bytes>,
    },
    /// Asks for what is newer than a revision.
    Pull {
        /// The newest revision of the sender, if it has one.
        have: Option<RevisionMark>,
        /// The next bytes of a document that the sender has a part of.
        part: Option<PartRequest>,
    },
    /// Answers a pull with entries, oldest first; empty when the answering host has nothing newer.
    Entries {
        /// The newest revision of the answering host, if it has one.
        newest: Option<RevisionMark>,
        /// The entries.
        entries: Vec<Bytes>,
    },
    /// Answers a pull with a part of the document.
    Part(Part),
}

/// Asks for a part of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// The document.
    pub mark: RevisionMark,
    /// The position of the first wanted byte.
    pub offset: u64,
}

/// A part of the canonical bytes of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The document.
    pub mark: RevisionMark,
    /// The newest entries up to the one of the document, oldest first; only the first part has them.
    pub recent: Vec<Bytes>,
    /// The length of the document.
    pub total_bytes: u64,
    /// The position of the first byte.
    pub offset: u64,
    /// The bytes.
    pub bytes: Bytes,
}

impl ConfMessage {
    /// Encodes the message.
    ///
    /// # Panics
    ///
    /// Never: every field has a postcard form.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let bytes = postcard::to_stdvec(self).expect("a message has a postcard form");
        Bytes::from(bytes)
    }

    /// Decodes a message; returns `None` when it is too large or malformed.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        postcard::from_bytes(bytes).ok()
    }
}
