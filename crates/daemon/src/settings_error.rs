//! Errors in the settings.

use lw_doc::ParseError;
use thiserror::Error;

/// Reason that settings were rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {error}; check the path and its permissions")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        error: String,
    },
    /// The file is not valid JSON, or has an unknown field or a value of a wrong type.
    #[error("{0}")]
    Syntax(#[from] ParseError),
    /// A value is not allowed.
    #[error("{file}: {field} {message}")]
    Invalid {
        /// Path of the file.
        file: String,
        /// Path of the field in the settings.
        field: String,
        /// What is wrong and what to change.
        message: String,
    },
}
