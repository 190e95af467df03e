//! Requests to publish a document.

use std::net::SocketAddr;
use std::sync::Arc;

use lw_base::WallMs;
use lw_doc::{Digest, Document};
use uuid::Uuid;

use crate::audit_entry::AuditEntry;
use crate::config::Config;

/// A request to publish a document.
#[derive(Clone, Debug)]
pub struct PublishRequest {
    /// The revision that the operator edited; 0 for the first document.
    pub base_revision: u64,
    /// The digest of the base, if known: when the service loses writes, another document may get the same revision.
    pub base_digest: Option<Digest>,
    /// The document to publish.
    pub next: Document,
    /// The name of the operator.
    pub operator: String,
    /// Identifies the attempt; a retry after an unknown outcome uses the same operation.
    pub operation: Uuid,
    /// The current time.
    pub wall: WallMs,
    /// The addresses of the gateway's own listeners.
    pub gateway_addresses: Vec<SocketAddr>,
    /// True when the operator confirmed the warnings.
    pub confirmed: bool,
    /// The revision in memory, if any. If it is the base, the base need not be read from the service.
    pub known: Option<Arc<Config>>,
}

/// A published revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Published {
    /// The audit entry.
    pub entry: AuditEntry,
    /// The document.
    pub document: Document,
}
