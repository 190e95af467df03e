//! Requests as listeners pass them to handlers.

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use tokio_util::sync::CancellationToken;

/// A request whose body was read.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// The method.
    pub method: Method,
    /// The request target: path and query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, or why it could not be read.
    pub body: Result<Bytes, RequestBodyError>,
    /// Cancelled when the caller disconnects, or when its response is finished.
    pub caller_gone: CancellationToken,
}

/// Why the body of a request could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestBodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The body is malformed, or its length differs from `Content-Length`.
    Malformed,
    /// The body did not arrive in time.
    TooSlow,
}
