//! Serving one request of a connection.

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
use crate::server::connection::{Busy, Connection};
use crate::server::http_server::{CONNECTION, WebState};
use crate::server::request_body::read_body;
use crate::server::web_body::WebBody;

/// The time in which a caller must take what is left of an aborted body.
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
    // The end of the connection looks like the last chunk of a body, so a cut body would be taken for a whole one.
    if headers.contains_key(TRANSFER_ENCODING) && connection.is_ended() {
        body = Err(RequestBodyError::Malformed);
    }
    // A body that is refused is answered at once, also to a caller that has closed its sending side.
    let refused = body.is_err();
    let gone = CancellationToken::new();
    let ended = gone.clone();
    let guard = gone.clone().drop_guard();
    let incoming = IncomingRequest {
        method: request.method().clone(),
        uri: request.uri().clone(),
        headers: request.headers().clone(),
        body,
        gone,
    };
    let task = state.runtime.spawn((state.handler)(incoming));
    let reply = tokio::select! {
        reply = task => reply,
        // The task sees the cancelled token and ends by itself, with an outcome.
        // A caller that closed only its sending side must not take the end of the connection for an answer.
        () = connection.gone(), if !refused => Ok(error_reply(ErrorKind::CallerGone)),
    };
    let reply = reply.unwrap_or_else(|error| {
        log::error!("gate: a request failed inside the gateway: {error}");
        error_reply(ErrorKind::Internal)
    });
    web_response(reply, connection, ended, guard, busy)
}

/// Cuts a connection off when its body was aborted and the caller does not take the rest, so that a caller that never
/// reads cannot keep the connection.
async fn cut_stalled(
    connection: Arc<Connection>,
    aborted: CancellationToken,
    ended: CancellationToken,
) {
    tokio::select! {
        () = aborted.cancelled() => {}
        () = ended.cancelled() => return,
    }
    tokio::select! {
        () = tokio::time::sleep(STALL_TIMEOUT) => connection.cut(),
        () = ended.cancelled() => {}
    }
}

fn web_response(
    reply: Reply,
    connection: Arc<Connection>,
    ended: CancellationToken,
    guard: DropGuard,
    busy: Busy,
) -> WebResponse {
    let body = match reply.body {
        ReplyBody::Whole(bytes) => ResponseBody::bytes(bytes),
        ReplyBody::Stream {
            length_bytes,
            parts,
            aborted,
        } => {
            tokio::task::spawn_local(cut_stalled(connection.clone(), aborted, ended));
            ResponseBody::boxed(WebBody {
                length_bytes,
                parts,
                gone: Box::pin(async move { connection.gone().await }),
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
