//! Serving a single request of a connection.

use std::sync::Arc;
use std::time::Duration;

use http::header::TRANSFER_ENCODING;
use lw_base::ErrorKind;
use tokio_util::sync::{CancellationToken, DropGuard};
use xitca_web::WebContext;
use xitca_web::body::ResponseBody;
use xitca_web::http::WebResponse;

use crate::error_reply::error_reply;
use crate::incoming_request::{IncomingRequest, RequestBodyError};
use crate::reply::{Reply, ReplyBody};
use crate::server::connection::{BusyGuard, Connection};
use crate::server::http_server::{CONNECTION, WebState};
use crate::server::request_body::read_body;
use crate::server::web_body::WebBody;

/// The time limit for a caller to read the rest of an aborted body.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves one request.
pub(crate) async fn handle(context: &WebContext<'_, WebState>) -> WebResponse {
    let connection = CONNECTION.get();
    respond(context, connection).await
}

async fn respond(context: &WebContext<'_, WebState>, connection: Arc<Connection>) -> WebResponse {
    let busy = connection.busy();
    let state = context.state();
    let request = context.req();
    let body = std::mem::take(&mut *context.body_borrow_mut());
    let timeout = Duration::from_millis(state.options.body_timeout_ms);
    let headers = request.headers();
    let mut body = read_body(body, headers, state.options.max_body_bytes, timeout).await;
    // The HTTP library reports a closed connection as the last chunk, so a truncated chunked body would seem complete.
    if headers.contains_key(TRANSFER_ENCODING) && connection.is_closed_by_caller() {
        body = Err(RequestBodyError::Malformed);
    }
    // A request with an invalid body gets its error response even when the caller has closed its sending side.
    let body_failed = body.is_err();
    let caller_gone = CancellationToken::new();
    let ended = caller_gone.clone();
    let guard = caller_gone.clone().drop_guard();
    let incoming = IncomingRequest {
        method: request.method().clone(),
        uri: request.uri().clone(),
        headers: request.headers().clone(),
        body,
        caller_gone,
    };
    let task = state.runtime.spawn((state.handler)(incoming));
    let reply = tokio::select! {
        reply = task => reply,
        // The token is cancelled, so the task ends the request with an outcome. The response is for callers that closed
        // only their sending side: they must not mistake the end of the connection for a response.
        () = connection.caller_gone(), if !body_failed => Ok(error_reply(ErrorKind::CallerGone)),
    };
    let reply = reply.unwrap_or_else(|error| {
        log::error!("gate: the task of a request failed: {error}");
        error_reply(ErrorKind::Internal)
    });
    web_response(reply, connection, ended, guard, busy)
}

/// Shuts down the connection of a caller that does not read the rest of an aborted body; it would stay open otherwise.
async fn shut_down_stalled(
    connection: Arc<Connection>,
    aborted: CancellationToken,
    ended: CancellationToken,
) {
    tokio::select! {
        () = aborted.cancelled() => {}
        () = ended.cancelled() => return,
    }
    tokio::select! {
        () = tokio::time::sleep(STALL_TIMEOUT) => connection.shut_down(),
        () = ended.cancelled() => {}
    }
}

fn web_response(
    reply: Reply,
    connection: Arc<Connection>,
    ended: CancellationToken,
    guard: DropGuard,
    busy: BusyGuard,
) -> WebResponse {
    let body = match reply.body {
        ReplyBody::Whole(bytes) => ResponseBody::bytes(bytes),
        ReplyBody::Stream {
            length_bytes,
            parts,
            aborted,
        } => {
            tokio::task::spawn_local(shut_down_stalled(connection.clone(), aborted, ended));
            ResponseBody::boxed(WebBody {
                length_bytes,
                parts,
                caller_gone: Box::pin(async move { connection.caller_gone().await }),
                ended: false,
                _guard: guard,
                _busy: busy,
            })
        }
    };
    let mut response = WebResponse::new(body);
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response
}
