//! Reads and writes the shard map of a region in the key-value service.

use bytes::Bytes;
use lw_idem::{ProposalResult, ShardMap};
use lw_plat::{Kv, KvCall, KvError, KvReply};

/// Returns the key of a region's shard map.
pub(crate) fn map_key(region: &str) -> String {
    format!("lw/shards/{region}")
}

/// Reads the shard map with its stored version; without a map the version is 0.
///
/// # Errors
///
/// Returns the error of the service, or [`KvError::Malformed`] if the value cannot be decoded.
pub(crate) async fn read_map(kv: &Kv, key: String) -> Result<(u64, Option<ShardMap>), KvError> {
    match kv.call(KvCall::Get { key }).await? {
        KvReply::Value { version, value } => {
            let map = postcard::from_bytes(&value).map_err(|_| KvError::Malformed)?;
            Ok((version, Some(map)))
        }
        KvReply::Absent => Ok((0, None)),
        _ => Err(KvError::Malformed),
    }
}

/// Writes a map by compare-and-swap on the stored version.
pub(crate) async fn write_map(
    kv: &Kv,
    key: String,
    map: &ShardMap,
    if_version: u64,
) -> ProposalResult {
    let value = postcard::to_stdvec(map).expect("a shard map can be encoded");
    let put = KvCall::Put {
        key,
        value: Bytes::from(value),
        if_version,
        lease_id: None,
    };
    match kv.call(put).await {
        Ok(KvReply::Written { version }) => ProposalResult::Written { version },
        Err(
            KvError::Conflict { .. }
            | KvError::Unavailable
            | KvError::Unreachable
            | KvError::TooLarge,
        ) => ProposalResult::NotWritten,
        Ok(_) | Err(KvError::ReplyLost | KvError::LeaseExpired | KvError::Malformed) => {
            ProposalResult::Unclear
        }
    }
}
