//! Errors of the host list, the directory, the weight store and the control interface of engines.

use std::future::Future;
use std::pin::Pin;

use thiserror::Error;

/// Why a call to a platform service failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The service refused before doing anything: rate limit or outage.
    #[error("the platform service refused the call")]
    Unavailable,
    /// The connection could not be opened, so nothing was done.
    #[error("the platform service cannot be reached")]
    Unreachable,
    /// The reply was lost: a change may have taken effect.
    #[error("the reply of the platform service was lost")]
    ReplyLost,
    /// The service does not know the entry.
    #[error("the platform service has no such entry")]
    Absent,
    /// The receiver has seen a higher fencing number.
    #[error("the receiver has seen a higher fencing number")]
    Stale,
    /// The reply could not be understood.
    #[error("the platform service answered in an unknown form")]
    Malformed,
}

/// The result of a call to a platform service, to be awaited.
pub type PlatformFuture<T> = Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send>>;
