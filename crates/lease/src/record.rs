//! The two values that a lease has in the key-value service.

use lw_plat::KvReply;
use serde::{Deserialize, Serialize};

/// The value of the claim key, which is bound to the lease and vanishes with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimValue {
    pub(crate) holder: String,
    pub(crate) lease_id: u64,
}

/// The value of the epoch key, which stays when a lease ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EpochValue {
    pub(crate) epoch: u64,
    pub(crate) holder: String,
    pub(crate) lease_id: u64,
}

/// A parsed value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Stored<T> {
    pub(crate) version: u64,
    /// `None` when the key is absent or its value cannot be read.
    pub(crate) value: Option<T>,
}

/// Parses the reply to a read.
pub(crate) fn stored<T: for<'de> Deserialize<'de>>(reply: &KvReply) -> Option<Stored<T>> {
    match reply {
        KvReply::Value { version, value } => Some(Stored {
            version: *version,
            value: serde_json::from_slice(value).ok(),
        }),
        KvReply::Absent => Some(Stored {
            version: 0,
            value: None,
        }),
        _ => None,
    }
}

/// Serialises a value; the types of this module always serialise.
pub(crate) fn to_bytes(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
