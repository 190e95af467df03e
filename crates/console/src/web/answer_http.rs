//! From an HTTP request to a response.

use bytes::Bytes;
use xitca_web::http::{HeaderMap, Method, Uri};

use crate::answers::{Console, RequestContext};
use crate::web::console_response::ConsoleResponse;
use crate::web::read_request::read_request;

/// Answers a request whose body has arrived, also from a listener that serves other paths.
///
/// The caller bounds the body, see [`crate::web::MAX_BODY_BYTES`].
pub async fn answer_http(
    console: &Console,
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    body: Bytes,
    moment: RequestContext,
) -> ConsoleResponse {
    match read_request(method, uri, headers, body).await {
        Ok(request) => console.answer(&request, moment).await,
        Err(error) => ConsoleResponse::text(400, &error.to_string()),
    }
}
