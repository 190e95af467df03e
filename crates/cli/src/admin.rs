//! The client of a daemon's admin listener.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::cli_error::CliError;

const CALL_LIMIT: Duration = Duration::from_secs(15);
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// Calls one daemon.
pub(crate) struct Admin {
    client: Client<HttpConnector, Full<Bytes>>,
    address: String,
    key: Option<String>,
}

impl Admin {
    /// Builds a client; `key` is sent as bearer token.
    pub(crate) fn new(address: &str, key: Option<String>) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address: address.to_owned(),
            key,
        }
    }

    /// Performs a call and returns its JSON reply.
    pub(crate) async fn call(&self, method: Method, path: &str) -> Result<Value, CliError> {
        let exchange = tokio::time::timeout(CALL_LIMIT, self.exchange(method, path));
        let late = || CliError::Unavailable(format!("{}: no reply in time", self.address));
        exchange.await.map_err(|_| late())?
    }

    async fn exchange(&self, method: Method, path: &str) -> Result<Value, CliError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        if let Some(key) = &self.key {
            request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        let request = request
            .body(Full::default())
            .map_err(|error| CliError::Usage(format!("the request cannot be built: {error}")))?;
        let broken = |error: &dyn std::fmt::Display| {
            CliError::Unavailable(format!("{}: {error}", self.address))
        };
        let response = self.client.request(request).await;
        let (parts, body) = response.map_err(|error| broken(&error))?.into_parts();
        let body = Limited::new(body, MAX_REPLY_BYTES).collect().await;
        let body = body.map_err(|error| broken(&error))?.to_bytes();
        self.read(parts.status, &body)
    }

    fn read(&self, status: StatusCode, body: &[u8]) -> Result<Value, CliError> {
        let address = &self.address;
        if status.is_success() {
            return serde_json::from_slice(body).map_err(|error| {
                CliError::Failed(format!("{address}: the reply is no JSON: {error}"))
            });
        }
        let body = String::from_utf8_lossy(body);
        let message = format!("{address}: {status}: {}", body.trim());
        Err(match status {
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => {
                CliError::Usage(format!("{message}; set operator_key in the settings file"))
            }
            StatusCode::SERVICE_UNAVAILABLE => CliError::Unavailable(message),
            _ => CliError::Failed(message),
        })
    }
}
