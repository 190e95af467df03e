//! Errors of the configuration store.

use thiserror::Error;

/// A failed call to the configuration store.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{message}")]
pub struct BackendError {
    /// The cause, shown to the operator.
    pub message: String,
}
