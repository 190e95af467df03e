//! The values that a lease stores in the key-value service.

use lw_plat::KvReply;
use serde::{Deserialize, Serialize};

/// The value of the claim key, which the service deletes when the lease ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimValue {
    pub(crate) holder: String,
    pub(crate) lease_id: u64,
}

/// The value of the epoch key, which remains when the lease ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EpochValue {
    pub(crate) epoch: u64,
    pub(crate) holder: String,
    pub(crate) lease_id: u64,
}

/// A parsed value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoredValue<T> {
    pub(crate) version: u64,
    /// `None` when the key is absent or its value cannot be parsed.
    pub(crate) value: Option<T>,
}

/// Parses the reply to a read; returns `None` for a reply of another kind.
pub(crate) fn parse_stored_value<T: for<'de> Deserialize<'de>>(
    reply: &KvReply,
) -> Option<StoredValue<T>> {
    match reply {
        KvReply::Value { version, value } => Some(StoredValue {
            version: *version,
            value: serde_json::from_slice(value).ok(),
        }),
        KvReply::Absent => Some(StoredValue {
            version: 0,
            value: None,
        }),
        _ => None,
    }
}

/// Serializes a value to JSON; the types of this module always serialize.
pub(crate) fn to_json_bytes(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
