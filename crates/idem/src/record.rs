//! What is kept about one idempotency key.

use bytes::Bytes;
use lw_base::WallMs;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// The largest response body that is kept for repeats.
pub const MAX_KEPT_BODY_BYTES: usize = 4 * 1024;

/// The identity of a key within a region: customer and service as a hash, and the UUID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordKey {
    /// The stable hash of customer and service.
    pub scope: u64,
    /// The UUID of the idempotency key.
    pub id: Uuid,
}

/// The truncated SHA-256 digest of method, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BodyDigest(pub [u8; 16]);

/// Distinguishes the claims of one key, so that a late message cannot apply to a later claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The epoch in which the claim was made.
    pub epoch: u64,
    /// The number of the claim on its owner.
    pub number: u64,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// The response is complete and small enough to keep.
    Kept {
        /// The HTTP status code.
        status: u16,
        /// The content type.
        content_type: String,
        /// The body.
        body: Bytes,
    },
    /// The response is complete but was not kept, or was evicted.
    NotKept,
    /// The request was sent, and its outcome is not known.
    Unknown,
    /// The request certainly did not run; the key may be claimed again.
    NotRun,
}

impl Ending {
    /// Returns the ending for a complete response, without the body when it is too large to keep.
    #[must_use]
    pub fn complete(status: u16, content_type: &str, body: Bytes) -> Self {
        if body.len() > MAX_KEPT_BODY_BYTES {
            return Self::NotKept;
        }
        Self::Kept {
            status,
            content_type: content_type.to_owned(),
            body,
        }
    }

    /// Returns the bytes that the ending occupies besides its record.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        match self {
            Self::Kept {
                content_type, body, ..
            } => content_type.len() + body.len(),
            Self::NotKept | Self::Unknown | Self::NotRun => 0,
        }
    }
}

/// The record of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: RecordKey,
    /// When the key was issued.
    pub issued: WallMs,
    /// What the request contained.
    pub digest: BodyDigest,
    /// The claim that the record belongs to.
    pub claim: ClaimId,
    /// How the run ended, or `None` while it may run.
    pub ending: Option<Ending>,
    /// When the run ended.
    pub ended: Option<WallMs>,
}
