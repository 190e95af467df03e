//! The last forwarding step of a request, which limits where the request may be forwarded next.

use serde::{Deserialize, Serialize};

/// The last forwarding step of a request.
///
/// Each forward must go to a later hop (`Caller`, `Region`, `Owner`), which makes a forwarding loop impossible.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Hop {
    /// The request came from a caller.
    Caller,
    /// The request was forwarded once from another region.
    Region,
    /// The request was forwarded inside the region to the owner of its idempotency shard.
    Owner,
}

impl Hop {
    /// Returns the value of the hop header that hosts send each other.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Region => "region",
            Self::Owner => "owner",
        }
    }

    /// Returns the hop with the given header value.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        [Self::Caller, Self::Region, Self::Owner]
            .into_iter()
            .find(|hop| hop.as_str() == name)
    }

    /// Returns whether a request with this hop may be forwarded with the hop `next`.
    #[must_use]
    pub fn allows(self, next: Self) -> bool {
        next > self
    }
}
