//! Responses of targets and of other hosts.

use std::sync::Arc;

use http::HeaderMap;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::response::Parts;
use hyper::body::Incoming as HyperBody;
use lw_base::AttemptId;
use lw_route::InFlightAttempt;

/// Who is answering.
#[derive(Debug)]
pub(crate) enum Source {
    /// A target of the own region.
    Target {
        in_flight: InFlightAttempt,
        address: Arc<str>,
        /// Its engine resumes streams.
        resumes: bool,
        /// It takes cancel commands.
        cancels: bool,
    },
    /// A host of the gateway.
    Host,
}

/// A response whose head was accepted.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) attempt: AttemptId,
    pub(crate) head: Parts,
    pub(crate) body: HyperBody,
    pub(crate) source: Source,
}

impl Answer {
    /// Returns true for a stream of server-sent events.
    pub(crate) fn is_event_stream(&self) -> bool {
        let value = self.head.headers.get(CONTENT_TYPE);
        value.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
    }

    /// Returns the declared length of the body.
    pub(crate) fn declared_bytes(&self) -> Option<u64> {
        declared_bytes(&self.head.headers)
    }
}

fn declared_bytes(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
