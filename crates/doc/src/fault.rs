//! Faults that validation reports to operators.

use std::fmt;

use crate::fault_kind::FaultKind;

/// A fault in a document: what is wrong, where, and how to fix it.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The path of the faulty part, such as `services/grade-assistant/regions`.
    pub path: String,
    /// The line in the file, from 1; `None` for a document that was not read from a file.
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
