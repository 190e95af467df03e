//! Faults that validation reports.

use std::fmt;

use crate::fault_kind::FaultKind;

/// A fault of a document.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The part of the document, like `services/grade-assistant/regions`.
    pub path: String,
    /// The line in the file when the document was read from one.
    pub line: Option<usize>,
    /// What is wrong.
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.path)?;
        if let Some(line) = self.line {
            write!(f, " (line {line})")?;
        }
        write!(f, ": {}; fix: {}", self.kind, self.kind.fix())
    }
}
