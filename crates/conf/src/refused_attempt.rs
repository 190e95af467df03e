//! Audit records of refused attempts to publish.

use lw_base::WallMs;
use lw_plat::{Kv, KvCall, KvError, KvReply};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::config_store_error::ConfigStoreError;
use crate::keys::{REFUSED_PREFIX, refused_key};
use crate::store::{decode, encode, read_value};

/// The maximum number of records per hour, so that a client that repeats an invalid attempt cannot exceed the value
/// limit of the service.
const MAX_RECORDS_PER_HOUR: usize = 64;
const MAX_REASON_BYTES: usize = 512;
const MAX_SWAP_ATTEMPTS: usize = 3;

/// A refused attempt to publish.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedAttempt {
    /// Identifies the attempt.
    pub operation: Uuid,
    /// The name of the operator.
    pub operator: String,
    /// The time of the attempt.
    pub wall_ms: WallMs,
    /// The revision that the operator edited.
    pub base_revision: u64,
    /// The reason for the refusal.
    pub reason: String,
}

/// Appends a record to the records of its hour. Above [`MAX_RECORDS_PER_HOUR`] the oldest records of the hour are
/// dropped.
///
/// # Errors
///
/// Fails when the service fails, or other writers change the same hour at each attempt.
pub(crate) async fn record_refused(
    kv: &Kv,
    refused: &RefusedAttempt,
) -> Result<(), ConfigStoreError> {
    let key = refused_key(refused.wall_ms);
    let mut refused = refused.clone();
    truncate(&mut refused.reason);
    for _ in 0..MAX_SWAP_ATTEMPTS {
        let (version, mut records) = read_hour(kv, &key).await?;
        if records
            .iter()
            .any(|record| record.operation == refused.operation)
        {
            return Ok(());
        }
        records.push(refused.clone());
        let surplus = records.len().saturating_sub(MAX_RECORDS_PER_HOUR);
        records.drain(..surplus);
        let call = KvCall::Put {
            key: key.clone(),
            value: encode(&records),
            if_version: version,
            lease_id: None,
        };
        match kv.call(call).await {
            Ok(_) => return Ok(()),
            Err(KvError::Conflict { .. } | KvError::ReplyLost) => {}
            Err(error) => return Err(error.into()),
        }
    }
    Err(KvError::Unavailable.into())
}

async fn read_hour(kv: &Kv, key: &str) -> Result<(u64, Vec<RefusedAttempt>), ConfigStoreError> {
    match kv.call(KvCall::Get { key: key.into() }).await? {
        KvReply::Value { version, value } => Ok((version, decode(key, &value)?)),
        KvReply::Absent => Ok((0, Vec::new())),
        _ => Err(KvError::Malformed.into()),
    }
}

fn truncate(reason: &mut String) {
    if reason.len() <= MAX_REASON_BYTES {
        return;
    }
    let mut end = MAX_REASON_BYTES;
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    reason.truncate(end);
}

/// Reads the refused attempts of the newest `hours` hours that have refused attempts, newest first.
///
/// # Errors
///
/// Fails when the service fails or a record is damaged.
pub async fn read_refused_attempts(
    kv: &Kv,
    hours: usize,
) -> Result<Vec<RefusedAttempt>, ConfigStoreError> {
    let call = KvCall::List {
        prefix: REFUSED_PREFIX.into(),
    };
    let KvReply::Keys(keys) = kv.call(call).await? else {
        return Err(KvError::Malformed.into());
    };
    let mut attempts = Vec::new();
    for key in keys.iter().rev().take(hours) {
        let value = read_value(kv, key).await?;
        let records: Vec<RefusedAttempt> = decode(key, &value)?;
        attempts.extend(records.into_iter().rev());
    }
    Ok(attempts)
}
