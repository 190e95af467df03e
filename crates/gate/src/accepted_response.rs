//! Responses of targets and of other hosts whose head was accepted.

use std::sync::Arc;

use http::HeaderMap;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::response::Parts;
use hyper::body::Incoming as HyperBody;
use lw_base::AttemptId;
use lw_route::InFlightAttempt;

/// The sender of a response.
#[derive(Debug)]
pub(crate) enum ResponseSource {
    /// A target in the region of this host.
    Target {
        in_flight: InFlightAttempt,
        address: Arc<str>,
        /// Whether the target can resume a stream.
        supports_resume: bool,
        /// Whether the target accepts cancel commands.
        supports_cancel: bool,
    },
    /// Another host of the gateway.
    Host,
}

/// A response whose head was accepted.
#[derive(Debug)]
pub(crate) struct AcceptedResponse {
    pub(crate) attempt: AttemptId,
    pub(crate) head: Parts,
    pub(crate) body: HyperBody,
    pub(crate) source: ResponseSource,
}

impl AcceptedResponse {
    /// Returns true when the body is a stream of server-sent events.
    pub(crate) fn is_event_stream(&self) -> bool {
        let value = self.head.headers.get(CONTENT_TYPE);
        value.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
    }

    /// Returns the length of the body from its `Content-Length` header.
    pub(crate) fn declared_bytes(&self) -> Option<u64> {
        declared_bytes(&self.head.headers)
    }
}

fn declared_bytes(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
