//! The keys of a lease and the calls on them.

use lw_plat::KvCall;

use crate::lease_times::LeaseTimes;
use crate::phase::{Claim, Phase};
use crate::stored_value::{ClaimValue, EpochValue, to_json_bytes};

/// The keys of one lease, and the client id that is written into their values.
#[derive(Clone, Debug)]
pub(crate) struct LeaseKeys {
    pub(crate) id: String,
    pub(crate) claim_key: String,
    epoch_key: String,
}

impl LeaseKeys {
    /// Builds the keys of `scope` for the client `id`.
    pub(crate) fn new(scope: &str, id: String) -> Self {
        Self {
            id,
            claim_key: format!("lw/lease/{scope}/claim"),
            epoch_key: format!("lw/lease/{scope}/epoch"),
        }
    }

    /// Returns the call that `phase` makes, or `None` for the idle phase.
    pub(crate) fn call(&self, phase: &Phase, times: &LeaseTimes) -> Option<KvCall> {
        let call = match *phase {
            Phase::Idle => return None,
            Phase::ReadingClaim | Phase::ConfirmingClaim(_) => KvCall::Get {
                key: self.claim_key.clone(),
            },
            Phase::WatchingClaim { version } => KvCall::Watch {
                key: self.claim_key.clone(),
                after_version: version,
                wait_ms: times.watch_ms,
            },
            Phase::OpeningLease => KvCall::LeaseOpen {
                ttl_ms: times.ttl_ms,
            },
            Phase::WritingClaim(claim) => self.write_claim_call(claim),
            Phase::ReadingEpoch(_) => KvCall::Get {
                key: self.epoch_key.clone(),
            },
            Phase::WritingEpoch {
                claim,
                epoch,
                version,
            } => self.write_epoch_call(claim, epoch, version),
            Phase::RenewingLease(claim) => KvCall::LeaseRenew {
                lease_id: claim.lease_id,
            },
            Phase::ClosingLease { lease_id } => KvCall::LeaseClose { lease_id },
        };
        Some(call)
    }

    fn write_claim_call(&self, claim: Claim) -> KvCall {
        let value = ClaimValue {
            holder: self.id.clone(),
            lease_id: claim.lease_id,
        };
        KvCall::Put {
            key: self.claim_key.clone(),
            value: to_json_bytes(&value).into(),
            if_version: 0,
            lease_id: Some(claim.lease_id),
        }
    }

    fn write_epoch_call(&self, claim: Claim, epoch: u64, version: u64) -> KvCall {
        let value = EpochValue {
            epoch,
            holder: self.id.clone(),
            lease_id: claim.lease_id,
        };
        KvCall::Put {
            key: self.epoch_key.clone(),
            value: to_json_bytes(&value).into(),
            if_version: version,
            lease_id: None,
        }
    }
}
