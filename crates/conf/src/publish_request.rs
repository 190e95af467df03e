//! Requests to publish.

use std::net::SocketAddr;
use std::sync::Arc;

use lw_base::WallMs;
use lw_doc::{Digest, Document};
use uuid::Uuid;

use crate::config::Config;
use crate::entry::Entry;

/// What an operator wants to publish.
#[derive(Clone, Debug)]
pub struct PublishRequest {
    /// The revision that the operator's document was made from; 0 for the first document.
    pub base_revision: u64,
    /// The digest of the base when it is known: after lost writes another document may carry the same revision.
    pub base_digest: Option<Digest>,
    /// The document.
    pub next: Document,
    /// The name of the operator.
    pub operator: String,
    /// Identifies the attempt; a repetition after an unknown outcome has the same one.
    pub operation: Uuid,
    /// The time now.
    pub wall: WallMs,
    /// The addresses of the gateway's own listeners.
    pub gateway_addresses: Vec<SocketAddr>,
    /// Whether the operator confirmed the warnings.
    pub confirmed: bool,
    /// A revision held in memory, which saves reading the base from the service.
    pub known: Option<Arc<Config>>,
}

/// A published revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Published {
    /// The entry.
    pub entry: Entry,
    /// The document.
    pub document: Document,
}
