//! The time and random bytes of a request, passed in so that tests control them.

use std::time::{SystemTime, UNIX_EPOCH};

use lw_base::WallMs;

/// The time and the randomness of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestContext {
    /// The current time.
    pub now: WallMs,
    /// Fresh random bytes, used as a session nonce or operation ID.
    pub random: [u8; 16],
}

impl RequestContext {
    /// Reads the system clock and generates fresh random bytes.
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
