//! What a request takes from its surroundings.

use std::time::{SystemTime, UNIX_EPOCH};

use lw_base::WallMs;

/// The time and the randomness of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestContext {
    /// The time now.
    pub now: WallMs,
    /// Fresh random bytes, for the nonce of a session or the id of an operation.
    pub random: [u8; 16],
}

impl RequestContext {
    /// Returns the time of the system clock and fresh random bytes, for the shell.
    #[must_use]
    pub fn from_system() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_ms = since.unwrap_or_default().as_millis();
        Self {
            now: WallMs(u64::try_from(now_ms).unwrap_or(u64::MAX)),
            random: rand::random(),
        }
    }
}
