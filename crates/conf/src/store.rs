//! Reads and writes of single values of the configuration in the key-value service.

use bytes::Bytes;
use lw_plat::{Kv, KvCall, KvError, KvReply};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::audit_entry::AuditEntry;
use crate::config_store_error::ConfigStoreError;
use crate::head::{Head, StoredHead};
use crate::keys::HEAD_KEY;

/// The maximum number of attempts of an idempotent write when replies are lost.
const MAX_WRITE_ATTEMPTS: usize = 4;

/// Reads the head.
///
/// # Errors
///
/// Fails when the service fails or the head is damaged.
pub async fn read_head(kv: &Kv) -> Result<StoredHead, ConfigStoreError> {
    let call = KvCall::Get {
        key: HEAD_KEY.into(),
    };
    match kv.call(call).await? {
        KvReply::Value { version, value } => stored_head(version, &value),
        KvReply::Absent => Ok(StoredHead {
            version: 0,
            head: None,
        }),
        _ => Err(KvError::Malformed.into()),
    }
}

/// Waits up to `wait_ms` for a head with a version above `after_version`. Returns `None` when there is none.
pub(crate) async fn watch_head(
    kv: &Kv,
    after_version: u64,
    wait_ms: u64,
) -> Result<Option<StoredHead>, ConfigStoreError> {
    let call = KvCall::Watch {
        key: HEAD_KEY.into(),
        after_version,
        wait_ms,
    };
    match kv.call(call).await? {
        KvReply::Value { version, value } => stored_head(version, &value).map(Some),
        KvReply::Unchanged | KvReply::Absent => Ok(None),
        _ => Err(KvError::Malformed.into()),
    }
}

fn stored_head(version: u64, value: &[u8]) -> Result<StoredHead, ConfigStoreError> {
    Ok(StoredHead {
        version,
        head: Some(decode(HEAD_KEY, value)?),
    })
}

/// Replaces the head if its stored version is `if_version`. Returns the new version.
pub(crate) async fn swap_head(kv: &Kv, head: &Head, if_version: u64) -> Result<u64, KvError> {
    let call = KvCall::Put {
        key: HEAD_KEY.into(),
        value: encode(head),
        if_version,
        lease_id: None,
    };
    match kv.call(call).await? {
        KvReply::Written { version } => Ok(version),
        _ => Err(KvError::Malformed),
    }
}

/// Reads an entry.
///
/// # Errors
///
/// Fails when the service fails, or the entry is missing or damaged.
pub async fn read_entry(kv: &Kv, key: &str) -> Result<AuditEntry, ConfigStoreError> {
    let value = read_value(kv, key).await?;
    decode(key, &value)
}

pub(crate) async fn read_value(kv: &Kv, key: &str) -> Result<Bytes, ConfigStoreError> {
    match kv.call(KvCall::Get { key: key.into() }).await? {
        KvReply::Value { value, .. } => Ok(value),
        KvReply::Absent => Err(ConfigStoreError::Missing { key: key.into() }),
        _ => Err(KvError::Malformed.into()),
    }
}

/// Writes a value under a key that identifies its content. An existing value counts as written.
pub(crate) async fn write_once(kv: &Kv, key: &str, value: Bytes) -> Result<(), KvError> {
    let mut last_error = KvError::ReplyLost;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let call = KvCall::Put {
            key: key.into(),
            value: value.clone(),
            if_version: 0,
            lease_id: None,
        };
        match kv.call(call).await {
            Ok(_) | Err(KvError::Conflict { .. }) => return Ok(()),
            // The key identifies the content, so a retry cannot change what the first attempt wrote.
            Err(KvError::ReplyLost) => last_error = KvError::ReplyLost,
            Err(error) => return Err(error),
        }
    }
    Err(last_error)
}

pub(crate) fn encode(value: &impl Serialize) -> Bytes {
    let bytes = serde_json::to_vec(value).expect("the types of this crate have a JSON form");
    Bytes::from(bytes)
}

pub(crate) fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, ConfigStoreError> {
    serde_json::from_slice(value).map_err(|error| ConfigStoreError::Damaged {
        key: key.to_owned(),
        message: error.to_string(),
    })
}
