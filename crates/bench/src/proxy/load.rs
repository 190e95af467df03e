//! Callers of the measurement.

use std::io;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use uuid::Uuid;

use crate::proxy::round::Aim;

/// A caller with connections of its own.
pub(crate) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    pub(crate) fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    async fn send(
        &self,
        aim: Aim,
        method: Method,
        path: &str,
        body: String,
    ) -> io::Result<Response<hyper::body::Incoming>> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", aim.address))
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

/// Sends a plain request and reads its whole answer.
pub(crate) async fn request(caller: &Caller, aim: Aim) -> io::Result<()> {
    let response = caller
        .send(aim, Method::GET, aim.path, String::new())
        .await?;
    let body = response.into_body().collect().await;
    body.map(drop).map_err(io::Error::other)
}

/// Sends a streaming chat request and counts its tokens.
pub(crate) async fn stream(caller: &Caller, aim: Aim, tokens: u64) -> io::Result<()> {
    let body = serde_json::json!({
        "model": "assistant", "stream": true, "max_tokens": tokens,
        "messages": [{"role": "user", "content": Uuid::now_v7().to_string()}],
    });
    let path = "/v1/chat/completions";
    let response = caller
        .send(aim, Method::POST, path, body.to_string())
        .await?;
    let text = response.into_body().collect().await;
    let text = text.map_err(io::Error::other)?.to_bytes();
    let events = text.windows(6).filter(|window| window == b"data: ").count() as u64;
    if events == tokens + 1 && text.ends_with(b"data: [DONE]\n\n") {
        return Ok(());
    }
    let message = format!("a stream of {tokens} tokens brought {events} events");
    Err(io::Error::other(message))
}
