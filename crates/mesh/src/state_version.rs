//! The version of the platform's state.

use std::fmt::{Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The version of the platform's state. Versions are ordered by era, then by revision.
///
/// The store's era rises each time it is restored from a copy. Revisions go back then and are assigned a second time, so
/// a revision alone does not identify a state.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StateVersion {
    /// The number of the store's era; zero if the store states none.
    pub era: u64,
    /// The revision within the era.
    pub revision: u64,
}

/// The error of a text that is not a state version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected REVISION or ERA.REVISION")]
pub struct StateVersionError;

impl Display for StateVersion {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{}", self.era, self.revision)
    }
}

impl FromStr for StateVersion {
    type Err = StateVersionError;

    /// Parses `ERA.REVISION`, or a revision without an era.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, revision) = text.split_once('.').unwrap_or(("0", text));
        let number = |text: &str| text.parse().map_err(|_| StateVersionError);
        Ok(Self {
            era: number(era)?,
            revision: number(revision)?,
        })
    }
}
