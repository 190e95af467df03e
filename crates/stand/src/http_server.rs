//! The HTTP server of all fakes.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};

/// Aborts the connection without sending the rest of the response.
#[derive(Clone, Copy, Debug, Error)]
#[error("the fake service aborted the connection")]
pub(crate) struct ConnectionAborted;

/// A response of a fake.
pub(crate) type Reply = Response<BoxBody<Bytes, ConnectionAborted>>;

/// A running server; dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    accept_loop: AbortHandle,
}

impl ServerHandle {
    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections immediately, as in a crash of the host.
    pub fn stop(&self) {
        self.accept_loop.abort();
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Listens on `address` and serves each request with `handler`.
pub(crate) async fn start<H, F>(address: SocketAddr, handler: H) -> std::io::Result<ServerHandle>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Reply, ConnectionAborted>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let accept_loop = tokio::spawn(accept(listener, handler)).abort_handle();
    Ok(ServerHandle {
        address,
        accept_loop,
    })
}

async fn accept<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Reply, ConnectionAborted>> + Send + 'static,
{
    // Dropping the set, when the accept loop is aborted, aborts the connections.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let _ = stream.set_nodelay(true);
                let service = service_fn(handler.clone());
                let builder = hyper::server::conn::http1::Builder::new();
                let connection = builder.serve_connection(TokioIo::new(stream), service);
                connections.spawn(async move {
                    // Several injected faults abort connections, so an error here is expected.
                    let _ = connection.await;
                });
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Returns a response with a body.
pub(crate) fn reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let body = Full::new(body.into())
        .map_err(|never| match never {})
        .boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Returns a response with a JSON body.
pub(crate) fn json_reply(status: StatusCode, body: &impl Serialize) -> Reply {
    let Ok(bytes) = serde_json::to_vec(body) else {
        return reply(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new());
    };
    let mut response = reply(status, bytes);
    let content_type = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}

/// Reads a whole request body.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, ConnectionAborted> {
    let collected = body.collect().await.map_err(|_| ConnectionAborted)?;
    Ok(collected.to_bytes())
}

/// Returns the percent-decoded rest of the path after `prefix`, or `None` if the path does not start with `prefix`.
pub(crate) fn path_after(path: &str, prefix: &str) -> Option<String> {
    let rest = path.strip_prefix(prefix)?;
    let decoded = percent_encoding::percent_decode_str(rest).decode_utf8();
    decoded.ok().map(Into::into)
}

/// Returns the decoded value of a query parameter.
pub(crate) fn query_value(query: Option<&str>, name: &str) -> Option<String> {
    url::form_urlencoded::parse(query?.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

/// Returns a query parameter as a number, or `None` if it is missing or malformed.
pub(crate) fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    query_value(query, name)?.parse().ok()
}

/// Returns a header as a number, or `None` if it is missing or malformed.
pub(crate) fn header_number(headers: &http::HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
