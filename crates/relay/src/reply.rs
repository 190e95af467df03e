//! Responses and their bodies.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use http::{HeaderValue, Response, StatusCode, Version};
use http_body::{Body, Frame, SizeHint};

use crate::forward::RequestGuard;
use crate::head_timer::ConnectionProgress;

/// A stream of body data. An error closes the connection, so that a truncated body never looks complete to the caller.
pub(crate) type BodyStream = Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>;

/// The body of a response.
pub(crate) enum ReplyBody {
    /// A complete body; `None` when it is empty or was sent.
    Whole(Option<Bytes>),
    /// A body that is forwarded as it arrives.
    Stream(BodyStream),
}

/// A response to a caller or to another host.
pub(crate) type Reply = Response<ReplyBody>;

impl ReplyBody {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

/// Builds a response with a JSON body.
pub(crate) fn json_reply(status: StatusCode, body: String) -> Reply {
    let mut reply = Response::new(ReplyBody::whole(body));
    *reply.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(http::header::CONTENT_TYPE, json);
    reply
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(stream) => {
                let part = stream.as_mut().poll_next(context);
                part.map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// A body that keeps its request counted until the answer is written to the connection.
pub(crate) struct CountedBody {
    body: ReplyBody,
    guard: Option<RequestGuard>,
    progress: ConnectionProgress,
    /// The body has neither a length nor chunks.
    ends_with_connection: bool,
}

impl CountedBody {
    pub(crate) fn new(
        body: ReplyBody,
        guard: Option<RequestGuard>,
        progress: ConnectionProgress,
        version: Version,
    ) -> Self {
        // Chunks came with HTTP/1.1.
        let ends_with_connection =
            version < Version::HTTP_11 && matches!(body, ReplyBody::Stream(_));
        Self {
            body,
            guard,
            progress,
            ends_with_connection,
        }
    }
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        // The server library drops a body once it has taken all of it, before it has written the last part.
        if let Some(guard) = self.guard.take() {
            guard.record_writing();
            self.progress.hold_until_flushed(guard);
        }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = self.get_mut();
        let frame = Pin::new(&mut this.body).poll_frame(context);
        if this.ends_with_connection {
            this.progress
                .set_incomplete(!matches!(frame, Poll::Ready(None)));
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
