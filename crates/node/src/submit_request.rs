//! A non-idempotent request that is submitted for a decision.

use lw_base::prelude::*;
use lw_idem::{BodyDigest, RecordKey};

/// A non-idempotent request that is submitted for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubmitRequest {
    /// The idempotency key with its scope.
    pub key: RecordKey,
    /// The issue time of the key.
    pub issued: WallMs,
    /// The digest of the content of the request.
    pub digest: BodyDigest,
    /// True if the caller marked this as its first attempt with the key.
    pub first_attempt: bool,
    /// When the caller stops waiting.
    pub deadline: MonoMs,
    /// True if another host of the region forwarded the request, which must then not be forwarded again.
    pub forwarded: bool,
}
