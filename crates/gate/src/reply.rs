//! Responses as handlers pass them to listeners.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// A response.
#[derive(Debug)]
pub struct Reply {
    /// The status code.
    pub status: StatusCode,
    /// The headers, without `Content-Length` and `Transfer-Encoding`.
    pub headers: HeaderMap,
    /// The body.
    pub body: ReplyBody,
}

/// The body of a response.
#[derive(Debug)]
pub enum ReplyBody {
    /// A complete body.
    Whole(Bytes),
    /// A body that is forwarded while it arrives.
    Stream {
        /// The length of the body; `None` for a chunked body.
        length_bytes: Option<u64>,
        /// The parts. The channel is small, so that a caller that reads slowly exerts backpressure on the target.
        parts: mpsc::Receiver<BodyPart>,
        /// Cancelled when the sender aborts the body; the connection is then closed if the caller does not read.
        aborted: CancellationToken,
    },
}

/// A part of a streamed body. A channel that closes without [`BodyPart::End`] aborts the body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

impl Reply {
    /// Builds a response with a complete body.
    #[must_use]
    pub fn whole(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: ReplyBody::Whole(body.into()),
        }
    }
}
