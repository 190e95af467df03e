//! HTTP callers that generate the load of the measurement.

use std::io;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use uuid::Uuid;

use crate::proxy::round::Endpoint;

/// A caller with its own connection pool.
pub(crate) struct HttpCaller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpCaller {
    pub(crate) fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    async fn send(
        &self,
        endpoint: Endpoint,
        method: Method,
        path: &str,
        body: String,
    ) -> io::Result<Response<hyper::body::Incoming>> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", endpoint.address))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(io::Error::other)?;
        let response = self.client.request(request).await;
        let response = response.map_err(io::Error::other)?;
        if response.status() != StatusCode::OK {
            let message = format!("{path} was answered with {}", response.status());
            return Err(io::Error::other(message));
        }
        Ok(response)
    }
}

/// Sends a plain request and reads the complete response.
///
/// Fails unless the status is 200 OK.
pub(crate) async fn send_plain_request(caller: &HttpCaller, endpoint: Endpoint) -> io::Result<()> {
    let response = caller
        .send(endpoint, Method::GET, endpoint.path, String::new())
        .await?;
    let body = response.into_body().collect().await;
    body.map(drop).map_err(io::Error::other)
}

/// Sends a streaming chat request and reads its events.
///
/// Fails unless the status is 200 OK and the stream is complete with the requested number of tokens.
pub(crate) async fn send_stream_request(
    caller: &HttpCaller,
    endpoint: Endpoint,
    tokens: u64,
) -> io::Result<()> {
    let body = serde_json::json!({
        "model": "assistant", "stream": true, "max_tokens": tokens,
        "messages": [{"role": "user", "content": Uuid::now_v7().to_string()}],
    });
    let path = "/v1/chat/completions";
    let response = caller
        .send(endpoint, Method::POST, path, body.to_string())
        .await?;
    let text = response.into_body().collect().await;
    let text = text.map_err(io::Error::other)?.to_bytes();
    let events = text.windows(6).filter(|window| window == b"data: ").count() as u64;
    if events == tokens + 1 && text.ends_with(b"data: [DONE]\n\n") {
        return Ok(());
    }
    let message = format!("a stream of {tokens} tokens had {events} events");
    Err(io::Error::other(message))
}
