//! Errors of calls to the host list, the directory, the weight store and the control interface of engines.

use std::future::Future;
use std::pin::Pin;

use thiserror::Error;

/// Why a call to a platform service failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The service rejected the call without any effect, because of a rate limit or an outage.
    #[error("the platform service rejected the call because of a rate limit or an outage")]
    Unavailable,
    /// The connection could not be opened, so the call had no effect.
    #[error("the platform service cannot be reached")]
    Unreachable,
    /// The reply was lost, so a change may have taken effect.
    #[error("the reply of the platform service was lost; a change may have taken effect")]
    ReplyLost,
    /// The service has no such entry.
    #[error("the platform service has no such entry")]
    Absent,
    /// The fencing number is outdated: the receiver has received a higher one.
    #[error("the fencing number is outdated; the receiver has received a higher one")]
    Stale,
    /// The reply is malformed or unexpected.
    #[error("the platform service sent a malformed or unexpected reply")]
    Malformed,
}

/// The future result of a call to a platform service.
pub type PlatformFuture<T> = Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send>>;
