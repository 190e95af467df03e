//! The audit floor: the revision up to which the retention worker removed entries.

use lw_plat::{Kv, KvCall, KvError, KvReply};
use serde::{Deserialize, Serialize};

use crate::config_store_error::ConfigStoreError;
use crate::keys::AUDIT_FLOOR_KEY;
use crate::store::{decode, encode};

/// The revision up to which entries were removed, which distinguishes removed entries from lost ones. The floor never
/// decreases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AuditFloor {
    /// Entries up to this revision may be absent.
    pub(crate) revision: u64,
}

/// Reads the floor. Its revision is 0 when nothing was removed yet.
pub(crate) async fn read_floor(kv: &Kv) -> Result<AuditFloor, ConfigStoreError> {
    Ok(read_stored(kv).await?.1)
}

/// Raises the floor to `revision` unless the floor is already higher. Returns the resulting floor.
pub(crate) async fn raise_floor(kv: &Kv, revision: u64) -> Result<AuditFloor, ConfigStoreError> {
    let (version, floor) = read_stored(kv).await?;
    if floor.revision >= revision {
        return Ok(floor);
    }
    let raised = AuditFloor { revision };
    let call = KvCall::Put {
        key: AUDIT_FLOOR_KEY.into(),
        value: encode(&raised),
        if_version: version,
        lease_id: None,
    };
    kv.call(call).await?;
    Ok(raised)
}

async fn read_stored(kv: &Kv) -> Result<(u64, AuditFloor), ConfigStoreError> {
    let key = AUDIT_FLOOR_KEY.to_owned();
    match kv.call(KvCall::Get { key }).await? {
        KvReply::Value { version, value } => Ok((version, decode(AUDIT_FLOOR_KEY, &value)?)),
        KvReply::Absent => Ok((0, AuditFloor::default())),
        _ => Err(KvError::Malformed.into()),
    }
}
