//! Priority classes of requests.

use serde::{Deserialize, Serialize};

/// The priority class of a request, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PriorityClass {
    /// Short lookups that must always get a response during working hours.
    Lookup,
    /// Short requests that a person waits for.
    Interactive,
    /// Long requests that may wait but must not be lost.
    Batch,
}

impl PriorityClass {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Lookup, Self::Interactive, Self::Batch];

    /// Returns the position of the class in [`Self::ALL`].
    #[must_use]
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the name in documents and headers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Interactive => "interactive",
            Self::Batch => "batch",
        }
    }

    /// Returns the class with the given name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|class| class.as_str() == name)
    }
}
