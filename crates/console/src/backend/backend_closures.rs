//! The interface to the configuration store.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use crate::backend::audit_row::AuditRow;
use crate::backend::backend_error::BackendError;
use crate::backend::publish_command::PublishCommand;
use crate::backend::publish_outcome::PublishOutcome;
use crate::backend::status_row::StatusRow;
use crate::backend::stored_document::StoredDocument;

/// The future that a backend closure returns.
pub type BackendFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// The future that a fallible backend closure returns.
pub type BackendResult<T> = BackendFuture<Result<T, BackendError>>;

/// The configuration store as the console uses it, as a set of closures, so that tests can replace it.
///
/// The futures run on the runtime that started the listener.
#[derive(Clone)]
pub struct Backend {
    /// Reads the revision in force.
    pub current: Arc<dyn Fn() -> BackendResult<StoredDocument> + Send + Sync>,
    /// Reads a revision; `None` when it is no longer stored.
    pub revision: Arc<dyn Fn(u64) -> BackendResult<Option<StoredDocument>> + Send + Sync>,
    /// Publishes a document.
    pub publish: Arc<dyn Fn(PublishCommand) -> BackendFuture<PublishOutcome> + Send + Sync>,
    /// Reads up to the given number of audit records, newest first.
    pub audit: Arc<dyn Fn(usize) -> BackendResult<Vec<AuditRow>> + Send + Sync>,
    /// Reads the status of the hosts that this host knows.
    pub status: Arc<dyn Fn() -> Vec<StatusRow> + Send + Sync>,
    /// Returns the addresses of the gateway's own listeners, which no target may use.
    pub gateway_addresses: Arc<dyn Fn() -> Vec<SocketAddr> + Send + Sync>,
}
