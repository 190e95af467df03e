//! The interface between the console and the configuration store.

mod audit_row;
mod backend_closures;
mod backend_error;
mod conf_backend;
mod publish_command;
mod publish_outcome;
mod status_row;
mod stored_document;

pub use audit_row::{AuditOutcome, AuditRow};
pub use backend_closures::{Backend, BackendFuture, BackendResult};
pub use backend_error::BackendError;
pub use conf_backend::ConfBackendDeps;
pub use publish_command::PublishCommand;
pub use publish_outcome::PublishOutcome;
pub use status_row::StatusRow;
pub use stored_document::StoredDocument;
