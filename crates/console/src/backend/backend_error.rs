//! Errors of the configuration store.

use thiserror::Error;

/// Why the configuration store gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{message}")]
pub struct BackendError {
    /// What failed, for the operator.
    pub message: String,
}
