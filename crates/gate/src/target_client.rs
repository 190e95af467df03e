//! HTTP client for targets and other hosts.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming as HyperBody;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{CaptureConnection, HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use lw_flow::AttemptFailure;

/// The timeout for opening a connection inside a region or between regions. It allows several round trips of some tens
/// of milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The time after which an idle connection is closed; shorter than the keep-alive time of common servers, so that a
/// request is rarely sent on a connection that the server is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// The maximum number of idle connections per target.
const MAX_IDLE_PER_TARGET: usize = 64;
/// The timeout of a cancel command.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// An HTTP client with a connection pool per target.
#[derive(Clone, Debug)]
pub(crate) struct TargetClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A response whose head was received, with a handle on its connection.
#[derive(Debug)]
pub(crate) struct OpenResponse {
    pub(crate) response: Response<HyperBody>,
    pub(crate) connection: CaptureConnection,
}

impl TargetClient {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_PER_TARGET)
            .build(connector);
        Self { client }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// The HTTP library resends a request by itself only when a reused connection was closed before the request was
    /// written to it.
    pub(crate) async fn send(
        &self,
        address: &str,
        method: &Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<OpenResponse, AttemptFailure> {
        let uri: Uri = format!("http://{address}{path}")
            .parse()
            .map_err(|_| AttemptFailure::ConnectFailed)?;
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = headers;
        let connection = capture_connection(&mut request);
        match self.client.request(request).await {
            Ok(response) => Ok(OpenResponse {
                response,
                connection,
            }),
            Err(error) if error.is_connect() => Err(AttemptFailure::ConnectFailed),
            Err(_) => Err(AttemptFailure::AnswerLost),
        }
    }

    /// Sends a cancel command for an attempt to an engine, without waiting for the result.
    pub(crate) fn cancel(&self, address: &str, attempt: &str) {
        let client = self.clone();
        let address = address.to_owned();
        let body = serde_json::json!({ "attempt": attempt }).to_string();
        tokio::spawn(async move {
            let mut headers = HeaderMap::new();
            let json = http::HeaderValue::from_static("application/json");
            headers.insert(http::header::CONTENT_TYPE, json);
            let send = client.send(&address, &Method::POST, "/v1/cancel", headers, body.into());
            let _ = tokio::time::timeout(CANCEL_TIMEOUT, send).await;
        });
    }
}

impl OpenResponse {
    /// Prevents the connection from being reused.
    pub(crate) fn poison(&self) {
        if let Some(connected) = self.connection.connection_metadata().as_ref() {
            connected.poison();
        }
    }
}
