//! A response as a listener takes it.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// A response.
#[derive(Debug)]
pub struct Reply {
    /// The status code.
    pub status: StatusCode,
    /// The headers, without those that frame the body.
    pub headers: HeaderMap,
    /// The body.
    pub body: ReplyBody,
}

/// The body of a response.
#[derive(Debug)]
pub enum ReplyBody {
    /// A body that is known as a whole.
    Whole(Bytes),
    /// A body that is passed on while it arrives.
    Stream {
        /// The declared length; `None` for a chunked body.
        length_bytes: Option<u64>,
        /// The parts. The channel is small, so a slow reader holds up the sender.
        parts: mpsc::Receiver<BodyPart>,
        /// Cancelled when the sender gives the body up. A caller that does not read is then cut off.
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
    /// Builds a response with a whole body.
    #[must_use]
    pub fn whole(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: ReplyBody::Whole(body.into()),
        }
    }
}
