//! The headers by which targets name the attempt that a response belongs to.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::http_server::{Reply, reply};

pub(crate) const ATTEMPT_HEADER: &str = "x-attempt-id";

/// Marks a response to a request that certainly did not start.
pub(crate) const NOT_STARTED_HEADER: &str = "x-not-started";

/// Copies the attempt id of the request to the response, or a wrong one when `mislabelled`.
pub(crate) fn echo_attempt(request: &HeaderMap, response: &mut Reply, mislabelled: bool) {
    let wrong = HeaderValue::from_static("00000000000000000000000000000000-1");
    let attempt = match mislabelled {
        true => Some(wrong),
        false => request.get(ATTEMPT_HEADER).cloned(),
    };
    if let Some(attempt) = attempt {
        response.headers_mut().insert(ATTEMPT_HEADER, attempt);
    }
}

/// Builds the response to a request that is refused before it starts.
pub(crate) fn refuse_before_start(request: &HeaderMap) -> Reply {
    let mut response = reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    let yes = HeaderValue::from_static("true");
    response.headers_mut().insert(NOT_STARTED_HEADER, yes);
    echo_attempt(request, &mut response, false);
    response
}
