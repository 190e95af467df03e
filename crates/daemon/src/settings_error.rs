//! Errors of the settings.

use lw_doc::ParseError;
use thiserror::Error;

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {error}")]
    Unreadable {
        /// The file.
        file: String,
        /// The error of the operating system.
        error: String,
    },
    /// The file is not valid JSON, or has an unknown field or a value of a wrong type.
    #[error("{0}")]
    Syntax(#[from] ParseError),
    /// A value cannot be used.
    #[error("{file}: {field} {message}")]
    Invalid {
        /// The file.
        file: String,
        /// The field.
        field: String,
        /// The fault and the fix.
        message: String,
    },
}
