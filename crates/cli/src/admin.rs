//! HTTP client for a daemon's admin listener.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::cli_error::CliError;

/// Time limit of a call, including the whole reply.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// Client for the admin listener of one daemon.
pub(crate) struct Admin {
    client: Client<HttpConnector, Full<Bytes>>,
    address: String,
    key: Option<String>,
}

impl Admin {
    /// Creates a client that sends `key` as bearer token.
    pub(crate) fn new(address: &str, key: Option<String>) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address: address.to_owned(),
            key,
        }
    }

    /// Sends a request and returns the JSON reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon cannot be reached, does not reply within the time limit, refuses the request or
    /// sends a reply that is not JSON.
    pub(crate) async fn call(&self, method: Method, path: &str) -> Result<Value, CliError> {
        let exchange = tokio::time::timeout(CALL_TIMEOUT, self.exchange(method, path));
        let timed_out = || {
            CliError::Unavailable(format!(
                "{}: the daemon did not reply within {} seconds; check that it is running and try again",
                self.address,
                CALL_TIMEOUT.as_secs()
            ))
        };
        exchange.await.map_err(|_| timed_out())?
    }

    async fn exchange(&self, method: Method, path: &str) -> Result<Value, CliError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        if let Some(key) = &self.key {
            request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        let request = request.body(Full::default()).map_err(|error| {
            CliError::Usage(format!(
                "{}: the request cannot be built: {error}; check the address and the operator key",
                self.address
            ))
        })?;
        let failed = |error: &dyn std::fmt::Display| {
            CliError::Unavailable(format!(
                "{}: the call to the daemon failed: {error}; check the address and that the daemon is running",
                self.address
            ))
        };
        let response = self.client.request(request).await;
        let (parts, body) = response.map_err(|error| failed(&error))?.into_parts();
        let body = Limited::new(body, MAX_REPLY_BYTES).collect().await;
        let body = body.map_err(|error| failed(&error))?.to_bytes();
        self.parse_reply(parts.status, &body)
    }

    fn parse_reply(&self, status: StatusCode, body: &[u8]) -> Result<Value, CliError> {
        let address = &self.address;
        if status.is_success() {
            return serde_json::from_slice(body).map_err(|error| {
                CliError::Failed(format!(
                    "{address}: the reply is not JSON: {error}; check the address of the listener"
                ))
            });
        }
        let body = String::from_utf8_lossy(body);
        let message = format!("{address}: {status}: {}", body.trim());
        Err(match status {
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => CliError::Usage(format!(
                "{message}; check operator_key in the settings file, or the environment variable LACEWINGSTILE_OPERATOR_KEY"
            )),
            StatusCode::SERVICE_UNAVAILABLE => CliError::Unavailable(message),
            _ => CliError::Failed(message),
        })
    }
}
