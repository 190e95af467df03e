//! What a request takes from its surroundings.

use lw_base::WallMs;

/// The time and the randomness of one request.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// The time now.
    pub now: WallMs,
    /// Fresh random bytes, for the nonce of a session or the id of an operation.
    pub random: [u8; 16],
}
