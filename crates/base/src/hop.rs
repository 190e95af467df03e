//! Where a request came from, which bounds where it may still go.

use serde::{Deserialize, Serialize};

/// The last hop that a request took.
///
/// Hops only go up (`Caller`, `Region`, `Owner`), which makes a forwarding loop impossible.
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
    /// Returns the name that the peer header carries.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Region => "region",
            Self::Owner => "owner",
        }
    }

    /// Finds the hop with the given header value.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        [Self::Caller, Self::Region, Self::Owner]
            .into_iter()
            .find(|hop| hop.as_str() == name)
    }

    /// Returns true when a request with this hop may take the hop `next`.
    #[must_use]
    pub fn allows(self, next: Self) -> bool {
        next > self
    }
}
