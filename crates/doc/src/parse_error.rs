//! Errors of the JSON reader.

use thiserror::Error;

/// Why a file is not a document.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}:{column}: {message}")]
pub struct ParseError {
    /// The name of the file.
    pub file: String,
    /// The line, from 1; 0 when it is not known.
    pub line: usize,
    /// The column, from 1; 0 when it is not known.
    pub column: usize,
    /// The fault; for an unknown field it lists the allowed fields.
    pub message: String,
}
