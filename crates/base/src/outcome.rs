//! The three outcomes of an accepted request.

use serde::{Deserialize, Serialize};

/// The outcome of an accepted request, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The caller received the complete response.
    Complete,
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `Lacewingstile-Outcome` header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Returns the outcome with the given header value.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        [Self::Complete, Self::NotRun, Self::Unknown]
            .into_iter()
            .find(|outcome| outcome.as_str() == name)
    }
}
