//! Requests to targets and to other hosts.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming as HyperBody;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{CaptureConnection, HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use lw_flow::AttemptFailure;

/// The time to open a connection inside a region or between regions; several round trips of some tens of ms.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections are kept for this long, less than common servers keep them.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// The idle connections that are kept per target.
const IDLE_PER_TARGET: usize = 64;
/// The time that a cancel command may take.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// An HTTP client that reuses connections per target.
#[derive(Clone, Debug)]
pub(crate) struct TargetClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A response whose head has arrived, with a handle on its connection.
#[derive(Debug)]
pub(crate) struct Opened {
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
            .pool_max_idle_per_host(IDLE_PER_TARGET)
            .build(connector);
        Self { client }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// The client sends a request again by itself only when the reused connection was closed before the request was
    /// written to it.
    pub(crate) async fn send(
        &self,
        address: &str,
        method: &Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Opened, AttemptFailure> {
        let uri: Uri = format!("http://{address}{path}")
            .parse()
            .map_err(|_| AttemptFailure::ConnectFailed)?;
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = headers;
        let connection = capture_connection(&mut request);
        match self.client.request(request).await {
            Ok(response) => Ok(Opened {
                response,
                connection,
            }),
            Err(error) if error.is_connect() => Err(AttemptFailure::ConnectFailed),
            Err(_) => Err(AttemptFailure::AnswerLost),
        }
    }

    /// Tells an engine to stop working on an attempt; does not wait.
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

impl Opened {
    /// Keeps the connection from being used again.
    pub(crate) fn poison(&self) {
        if let Some(connected) = self.connection.connection_metadata().as_ref() {
            connected.poison();
        }
    }
}
