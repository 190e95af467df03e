//! The revision up to which the audit was removed on purpose.

use lw_plat::{Kv, KvCall, KvError, KvReply};
use serde::{Deserialize, Serialize};

use crate::keys::FLOOR_KEY;
use crate::service::{decode, encode};
use crate::service_error::ConfigStoreError;

/// Tells removed records apart from lost ones. It only rises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AuditFloor {
    /// Entries up to this revision may be absent.
    pub(crate) revision: u64,
}

/// Reads the floor; revision 0 when nothing was removed yet.
pub(crate) async fn read_floor(kv: &Kv) -> Result<AuditFloor, ConfigStoreError> {
    Ok(read_stored(kv).await?.1)
}

/// Raises the floor to `revision` and returns the one in force.
pub(crate) async fn raise_floor(kv: &Kv, revision: u64) -> Result<AuditFloor, ConfigStoreError> {
    let (version, floor) = read_stored(kv).await?;
    if floor.revision >= revision {
        return Ok(floor);
    }
    let raised = AuditFloor { revision };
    let call = KvCall::Put {
        key: FLOOR_KEY.into(),
        value: encode(&raised),
        if_version: version,
        lease_id: None,
    };
    kv.call(call).await?;
    Ok(raised)
}

async fn read_stored(kv: &Kv) -> Result<(u64, AuditFloor), ConfigStoreError> {
    let key = FLOOR_KEY.to_owned();
    match kv.call(KvCall::Get { key }).await? {
        KvReply::Value { version, value } => Ok((version, decode(FLOOR_KEY, &value)?)),
        KvReply::Absent => Ok((0, AuditFloor::default())),
        _ => Err(KvError::Malformed.into()),
    }
}
