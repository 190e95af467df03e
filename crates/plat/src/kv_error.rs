//! Errors of the key-value service.

use thiserror::Error;

/// Why a call to the key-value service failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KvError {
    /// The version did not match; the stored version is given, 0 for an absent key.
    #[error("the stored version is {current}")]
    Conflict {
        /// The stored version.
        current: u64,
    },
    /// The service refused before doing anything: rate limit or outage.
    #[error("the key-value service refused the call")]
    Unavailable,
    /// The connection could not be opened, so nothing was done.
    #[error("the key-value service cannot be reached")]
    Unreachable,
    /// The reply was lost: a write may have taken effect.
    #[error("the reply of the key-value service was lost")]
    ReplyLost,
    /// The lease does not exist any more.
    #[error("the lease has lapsed")]
    LeaseExpired,
    /// The value is larger than the service accepts.
    #[error("the value is larger than the key-value service accepts")]
    TooLarge,
    /// The reply could not be understood.
    #[error("the key-value service answered in an unknown form")]
    Malformed,
}
