//! Messages that distribute the configuration between hosts.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::head::RevisionMark;

/// The maximum payload of a message in bytes. With its other fields a message stays below the 64 KiB of a peer frame.
pub const MAX_PAYLOAD_BYTES: usize = 48 * 1024;

/// The maximum size of an encoded message; larger messages are rejected without decoding.
pub const MAX_MESSAGE_BYTES: usize = 60 * 1024;

/// The maximum number of entries in a message.
pub(crate) const MAX_ENTRIES: usize = 64;

/// A message; the peer transport carries it as opaque bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfMessage {
    /// Pushes new revisions down the push tree of a region.
    Push {
        /// The host at the root of the tree.
        root: String,
        /// The newest revision.
        mark: RevisionMark,
        /// The entries that lead to `mark`, oldest first; empty when they are too large, so that receivers pull
        /// instead.
        entries: Vec<Bytes>,
    },
    /// Requests everything newer than a revision.
    Pull {
        /// The newest revision of the sender, if any.
        have: Option<RevisionMark>,
        /// The next part of the document that the sender is receiving, if any.
        part: Option<PartRequest>,
    },
    /// Replies to a pull with entries, oldest first; empty when the replying host has nothing newer.
    Entries {
        /// The newest revision of the replying host, if any.
        newest: Option<RevisionMark>,
        /// The entries.
        entries: Vec<Bytes>,
    },
    /// Replies to a pull with a part of the document.
    Part(DocumentPart),
}

/// Requests a part of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// The revision and digest of the document.
    pub mark: RevisionMark,
    /// The byte offset at which the part starts.
    pub offset: u64,
}

/// A part of the canonical bytes of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentPart {
    /// The revision and digest of the document.
    pub mark: RevisionMark,
    /// The newest entries up to that of the document, oldest first; only the first part carries them.
    pub recent: Vec<Bytes>,
    /// The size of the document.
    pub total_bytes: u64,
    /// The byte offset of the part.
    pub offset: u64,
    /// The bytes.
    pub bytes: Bytes,
}

impl ConfMessage {
    /// Encodes the message.
    ///
    /// # Panics
    ///
    /// Never: postcard can encode every field.
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
