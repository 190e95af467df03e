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

/// The characters that are percent-encoded in paths and queries.
const PERCENT_ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// How long an idle connection stays in the pool. It is shorter than the idle timeout of typical servers, so that no
/// request is sent on a connection that the server closes.
const POOL_IDLE_MS: u64 = 15_000;

/// A reply with its complete body.
pub(crate) struct HttpReply {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
}

/// An HTTP client of one platform service.
#[derive(Clone)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    /// The URL of the service without a path.
    base_url: String,
    timeouts: HttpTimeouts,
    max_body_bytes: usize,
}

impl HttpClient {
    /// Creates a client for the service at `address` (IP address and port).
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
            base_url: format!("http://{address}"),
            timeouts,
            max_body_bytes,
        }
    }

    /// Returns a client for another address that shares the connection pool.
    pub(crate) fn with_address(&self, address: &str) -> Self {
        Self {
            base_url: format!("http://{address}"),
            ..self.clone()
        }
    }

    /// Sends a request and reads the complete reply; the timeout allows for a service that holds the call open for
    /// `wait_ms`.
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

    /// Returns a request builder for `path_and_query`, which must already be encoded.
    pub(crate) fn request(&self, method: Method, path_and_query: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("{}{path_and_query}", self.base_url))
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

/// Percent-encodes text for a path or a query.
pub(crate) fn encode(text: &str) -> String {
    utf8_percent_encode(text, PERCENT_ENCODED).to_string()
}

/// Adds the body to a request.
pub(crate) fn with_body(
    builder: http::request::Builder,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, PlatformError> {
    // Nothing was sent, so the error must not say that the call may have taken effect.
    builder
        .body(Full::new(body))
        .map_err(|_| PlatformError::Unreachable)
}

/// Parses a JSON body.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|_| PlatformError::Malformed)
}

/// Returns the error for a status other than 200.
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
