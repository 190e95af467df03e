//! Errors of the JSON parser.

use thiserror::Error;

/// A syntax or type error in a JSON file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}:{column}: {message}")]
pub struct ParseError {
    /// The name of the file.
    pub file: String,
    /// The line, from 1; 0 when it is not known.
    pub line: usize,
    /// The column, from 1; 0 when it is not known.
    pub column: usize,
    /// What is wrong; for an unknown field it lists the allowed fields.
    pub message: String,
}
