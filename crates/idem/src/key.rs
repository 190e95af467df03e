//! Idempotency keys as callers send them.

use lw_base::{ErrorKind, WallMs};
use uuid::{Uuid, Version};

/// How far ahead of the host's wall clock a key may be issued.
pub const MAX_KEY_AHEAD_MS: u64 = 2_000;

/// A parsed idempotency key: `<region>.<uuid v7>`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// The permanent home region of the key.
    pub region: String,
    /// The UUID.
    pub id: Uuid,
    /// The issue time in the UUID.
    pub issued: WallMs,
}

impl IdempotencyKey {
    /// Parses the value of an `Idempotency-Key` header.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::KeyMalformed`] for another form, another UUID version, or an issue time more than
    /// [`MAX_KEY_AHEAD_MS`] ahead of `wall`.
    pub fn parse(text: &str, wall: WallMs) -> Result<Self, ErrorKind> {
        let (region, id) = text.rsplit_once('.').ok_or(ErrorKind::KeyMalformed)?;
        let id = Uuid::try_parse(id).map_err(|_| ErrorKind::KeyMalformed)?;
        if region.is_empty() || id.get_version() != Some(Version::SortRand) {
            return Err(ErrorKind::KeyMalformed);
        }
        let issued = issue_time(id);
        if issued > wall.plus_ms(MAX_KEY_AHEAD_MS) {
            return Err(ErrorKind::KeyMalformed);
        }
        Ok(Self {
            region: region.to_owned(),
            id,
            issued,
        })
    }
}

/// Returns the issue time of a version 7 UUID: its first 48 bits.
#[must_use]
pub fn issue_time(id: Uuid) -> WallMs {
    let bytes = id.as_bytes();
    let mut millis = [0; 8];
    millis[2..].copy_from_slice(&bytes[..6]);
    WallMs(u64::from_be_bytes(millis))
}
