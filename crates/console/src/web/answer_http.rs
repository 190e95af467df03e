//! Handling of HTTP requests, independent of the listener that received them.

use bytes::Bytes;
use xitca_web::http::{HeaderMap, Method, Uri};

use crate::answers::{Console, RequestContext};
use crate::web::console_response::ConsoleResponse;
use crate::web::read_request::read_request;

/// Handles a request whose body is complete. Listeners that also serve other paths may call it.
///
/// The caller limits the size of the body, see [`crate::web::MAX_BODY_BYTES`].
pub async fn answer_http(
    console: &Console,
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    body: Bytes,
    context: RequestContext,
) -> ConsoleResponse {
    match read_request(method, uri, headers, body).await {
        Ok(request) => console.answer(&request, context).await,
        Err(error) => ConsoleResponse::text(400, &error.to_string()),
    }
}
