//! Errors of calls to the key-value service.

use thiserror::Error;

/// Why a call to the key-value service failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KvError {
    /// The stored version is not the required one; 0 stands for an absent key.
    #[error("version conflict: the stored version is {current}")]
    Conflict {
        /// The stored version.
        current: u64,
    },
    /// The service rejected the call without any effect, because of a rate limit or an outage.
    #[error("the key-value service rejected the call because of a rate limit or an outage")]
    Unavailable,
    /// The connection could not be opened, so the call had no effect.
    #[error("the key-value service cannot be reached")]
    Unreachable,
    /// The reply was lost, so a write may have taken effect.
    #[error("the reply of the key-value service was lost; a write may have taken effect")]
    ReplyLost,
    /// The lease has expired or was closed.
    #[error("the lease has expired")]
    LeaseExpired,
    /// The value is larger than the service accepts.
    #[error("the value is larger than the key-value service accepts")]
    TooLarge,
    /// The reply is malformed or unexpected.
    #[error("the key-value service sent a malformed or unexpected reply")]
    Malformed,
}
