//! The HTTP server that all stand-ins share.

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

/// Closes the connection without the rest of the response.
#[derive(Clone, Copy, Debug, Error)]
#[error("the stand-in broke the connection")]
pub(crate) struct Broken;

/// A response of a stand-in.
pub(crate) type Reply = Response<BoxBody<Bytes, Broken>>;

/// A running server; it closes its listener and all connections when dropped.
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

    /// Closes the listener and all connections at once, like a host that fails.
    pub fn stop(&self) {
        self.accept_loop.abort();
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Listens on `address` and answers each request by `handler`.
pub(crate) async fn start<H, F>(address: SocketAddr, handler: H) -> std::io::Result<ServerHandle>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Reply, Broken>> + Send + 'static,
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
    F: Future<Output = Result<Reply, Broken>> + Send + 'static,
{
    // The set aborts its connections when the accept loop is aborted.
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
                    // A broken connection is the purpose of several knobs and no fault.
                    let _ = connection.await;
                });
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Builds a response with a body.
pub(crate) fn reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let body = Full::new(body.into())
        .map_err(|never| match never {})
        .boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Builds a response with a JSON body.
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
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, Broken> {
    let collected = body.collect().await.map_err(|_| Broken)?;
    Ok(collected.to_bytes())
}

/// Returns the decoded path without `prefix`, or `None` when the path does not start with it.
pub(crate) fn path_after(path: &str, prefix: &str) -> Option<String> {
    let rest = path.strip_prefix(prefix)?;
    let decoded = percent_encoding::percent_decode_str(rest).decode_utf8();
    decoded.ok().map(Into::into)
}

/// Returns the value of a query parameter.
pub(crate) fn query_value(query: Option<&str>, name: &str) -> Option<String> {
    url::form_urlencoded::parse(query?.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

/// Returns a query parameter that is a number.
pub(crate) fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    query_value(query, name)?.parse().ok()
}

/// Returns a header that is a number.
pub(crate) fn header_number(headers: &http::HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
