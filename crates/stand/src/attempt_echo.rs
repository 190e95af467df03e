//! Response headers that identify the attempt that a target answers.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::http_server::{Reply, reply};

pub(crate) const ATTEMPT_HEADER: &str = "x-attempt-id";

/// Set on a response when the target guarantees that the request did not start.
pub(crate) const NOT_STARTED_HEADER: &str = "x-not-started";

/// Copies the attempt id of the request to the response, or sets another id if `wrong_attempt` is true.
pub(crate) fn echo_attempt(request: &HeaderMap, response: &mut Reply, wrong_attempt: bool) {
    let other_id = HeaderValue::from_static("00000000000000000000000000000000-1");
    let attempt = match wrong_attempt {
        true => Some(other_id),
        false => request.get(ATTEMPT_HEADER).cloned(),
    };
    if let Some(attempt) = attempt {
        response.headers_mut().insert(ATTEMPT_HEADER, attempt);
    }
}

/// Returns a 503 response that marks the request as not started.
pub(crate) fn refuse_before_start(request: &HeaderMap) -> Reply {
    let mut response = reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    let yes = HeaderValue::from_static("true");
    response.headers_mut().insert(NOT_STARTED_HEADER, yes);
    echo_attempt(request, &mut response, false);
    response
}
