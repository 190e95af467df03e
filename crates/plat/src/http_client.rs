//! The HTTP client that the platform clients share: one connection pool per service.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, response::Parts};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::de::DeserializeOwned;

use crate::http_timeouts::HttpTimeouts;
use crate::platform_error::PlatformError;

/// Bytes that a path keeps as they are.
const PATH: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Idle connections are closed before typical servers close them, which avoids sends on a dead connection.
const POOL_IDLE_MS: u64 = 15_000;

/// A reply with its whole body.
pub(crate) struct HttpReply {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
}

/// An HTTP client of one platform service.
#[derive(Clone)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    base: String,
    timeouts: HttpTimeouts,
    max_body_bytes: usize,
}

impl HttpClient {
    /// Builds a client for the service at `address` (IP address and port).
    pub(crate) fn new(address: &str, timeouts: HttpTimeouts, max_body_bytes: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeouts.connect()));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(POOL_IDLE_MS))
            .build(connector);
        Self {
            client,
            base: format!("http://{address}"),
            timeouts,
            max_body_bytes,
        }
    }

    /// Returns a client for another address that shares the connection pool.
    pub(crate) fn at(&self, address: &str) -> Self {
        Self {
            base: format!("http://{address}"),
            ..self.clone()
        }
    }

    /// Sends a request and reads the whole reply; the service may hold the call open for `wait_ms`.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
        wait_ms: u64,
    ) -> Result<HttpReply, PlatformError> {
        let exchange = self.exchange(request);
        tokio::time::timeout(self.timeouts.total(wait_ms), exchange)
            .await
            .unwrap_or(Err(PlatformError::ReplyLost))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<HttpReply, PlatformError> {
        let sent = self.client.request(request).await;
        let response = sent.map_err(|error| match error.is_connect() {
            true => PlatformError::Unreachable,
            false => PlatformError::ReplyLost,
        })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, self.max_body_bytes).collect().await;
        let body = body.map_err(|_| PlatformError::ReplyLost)?.to_bytes();
        Ok(HttpReply { parts, body })
    }

    /// Starts a request for `path_and_query`, which is already encoded.
    pub(crate) fn request(&self, method: Method, path_and_query: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("{}{path_and_query}", self.base))
    }

    /// Sends a request without a body and parses the JSON reply.
    pub(crate) async fn get_json<T: DeserializeOwned>(
        &self,
        path_and_query: &str,
    ) -> Result<T, PlatformError> {
        let request = with_body(self.request(Method::GET, path_and_query), Bytes::new())?;
        let reply = self.send(request, 0).await?;
        check_status(reply.parts.status)?;
        parse_json(&reply.body)
    }
}

/// Encodes text for use in a path or a query.
pub(crate) fn encode(text: &str) -> String {
    utf8_percent_encode(text, PATH).to_string()
}

/// Finishes a request.
pub(crate) fn with_body(
    builder: http::request::Builder,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, PlatformError> {
    // A request that cannot be built was not sent.
    builder
        .body(Full::new(body))
        .map_err(|_| PlatformError::Unreachable)
}

/// Parses a JSON body.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|_| PlatformError::Malformed)
}

/// Maps a status to its error.
pub(crate) fn check_status(status: StatusCode) -> Result<(), PlatformError> {
    match status {
        StatusCode::OK => Ok(()),
        StatusCode::NOT_FOUND => Err(PlatformError::Absent),
        StatusCode::CONFLICT => Err(PlatformError::Stale),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(PlatformError::Unavailable)
        }
        _ => Err(PlatformError::Malformed),
    }
}
