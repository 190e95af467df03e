//! Messages between the hosts of a region about idempotency keys.

use lw_base::WallMs;
use serde::{Deserialize, Serialize};

use crate::instance::Instance;
use crate::record::{ClaimId, Ending, Record, RecordKey};

/// A message of the at-most-once protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IdemMessage {
    /// The owner requests that its backup records a claim.
    Claim {
        /// The shard.
        shard: u8,
        /// The epoch of the owner's view.
        epoch: u64,
        /// The claim as a record without an ending.
        record: Record,
    },
    /// The backup accepts or refuses a claim.
    ClaimAck {
        /// The shard.
        shard: u8,
        /// The key.
        key: RecordKey,
        /// The claim that is acknowledged or refused.
        claim: ClaimId,
        /// False when the backup refuses the claim, for example because it does not have the owner's view.
        accepted: bool,
    },
    /// The host that ran a request copies its ending to the members of the view.
    DoneCopy {
        /// The shard.
        shard: u8,
        /// The key.
        key: RecordKey,
        /// The claim that ended.
        claim: ClaimId,
        /// How it ended.
        ending: Ending,
        /// When it ended.
        ended: WallMs,
    },
    /// The owner transfers records to a new backup.
    TransferPart {
        /// The shard.
        shard: u8,
        /// The epoch of the owner's view.
        epoch: u64,
        /// The number of the part, from 0.
        part: u32,
        /// The owner's low watermark.
        watermark: WallMs,
        /// Records, at most [`crate::TRANSFER_PART_BYTES`] in total.
        records: Vec<Record>,
    },
    /// The backup has stored a part.
    TransferAck {
        /// The shard.
        shard: u8,
        /// The epoch of the part.
        epoch: u64,
        /// The number of the part.
        part: u32,
    },
    /// A host requests votes for a takeover without consent.
    TakeoverQuery {
        /// The revision of the map on which the takeover will be based.
        revision: u64,
        /// The view members that the takeover requires to be silent.
        silent: Vec<Instance>,
    },
    /// The answer to a takeover query.
    TakeoverVote {
        /// The revision of the query.
        revision: u64,
        /// Those members of the query from which the voter has received nothing for 30 s.
        silent: Vec<Instance>,
    },
}

impl IdemMessage {
    /// Returns the shard of the message, or `None` for takeover messages.
    #[must_use]
    pub fn shard(&self) -> Option<u8> {
        match self {
            Self::Claim { shard, .. }
            | Self::ClaimAck { shard, .. }
            | Self::DoneCopy { shard, .. }
            | Self::TransferPart { shard, .. }
            | Self::TransferAck { shard, .. } => Some(*shard),
            Self::TakeoverQuery { .. } | Self::TakeoverVote { .. } => None,
        }
    }
}
