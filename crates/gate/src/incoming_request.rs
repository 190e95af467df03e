//! A request as a listener hands it on.

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use tokio_util::sync::CancellationToken;

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// The method.
    pub method: Method,
    /// The request target: path and query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, or why there is none.
    pub body: Result<Bytes, RequestBodyError>,
    /// Cancelled when the caller goes away, or when its response is finished.
    pub gone: CancellationToken,
}

/// Why the body of a request could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestBodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The body is malformed, or shorter than its declared length.
    Malformed,
    /// The body did not arrive in time.
    TooSlow,
}
