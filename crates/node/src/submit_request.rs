//! A non-idempotent request as the node decides on it.

use lw_base::prelude::*;
use lw_idem::{BodyDigest, RecordKey};

/// A non-idempotent request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubmitRequest {
    /// The key.
    pub key: RecordKey,
    /// The issue time of the key.
    pub issued: WallMs,
    /// What the request contains.
    pub digest: BodyDigest,
    /// True when the caller marked it as its first attempt with this key.
    pub first_attempt: bool,
    /// When the caller stops to wait.
    pub deadline: MonoMs,
    /// True when another host of the region forwarded the request, so that it must not be forwarded again.
    pub forwarded: bool,
}
