//! A caller that sends requests to entry hosts and retries on another one when a host fails.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use lw_base::Outcome;
use lw_plat::HostState;
use lw_stand::FakeHostList;
use rand::seq::IndexedRandom;
use serde_json::Value;

use crate::demo_request::{DemoRequest, RequestKind};

/// Maximum number of tries of a request when connections fail or break.
const MAX_TRIES: u32 = 4;
/// Deadline of chat requests; the deadline of a batch service could delay the end of the demonstration by ten minutes.
const DEADLINE_MS: &str = "60000";
/// Limit of one try; longer than the deadline, so that the gateway always answers first.
const CALL_LIMIT: Duration = Duration::from_secs(75);

/// The result of a request as its caller sees it.
#[derive(Clone, Debug)]
pub(crate) struct CallResult {
    /// The reported outcome; `None` if no entry host reported one.
    pub(crate) outcome: Option<Outcome>,
    /// The error kind; empty for a complete answer.
    pub(crate) kind: String,
    /// The time from the start of the first try to the end of the last one.
    pub(crate) latency_ms: u64,
    /// The number of tries after the first one, made because an entry host failed.
    pub(crate) retries: u32,
    /// Whether the request got a complete answer that belongs to another request.
    pub(crate) wrong_answer: bool,
}

/// Why a try ended without an outcome.
enum TryError {
    /// The request was not sent.
    NotSent,
    /// The request may have been sent.
    Sent,
}

/// The reply to one try.
struct Reply {
    outcome: Option<Outcome>,
    kind: String,
    body: Bytes,
}

/// Sends requests to the entry hosts in the directory; clones share one client.
#[derive(Clone)]
pub(crate) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    directory: FakeHostList,
}

impl Caller {
    /// Creates a caller that looks up entry hosts in `directory`.
    pub(crate) fn new(directory: FakeHostList) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            directory,
        }
    }

    /// Sends a request, retries it on another entry host if the host fails, and returns the result.
    pub(crate) async fn call(&self, request: &DemoRequest) -> CallResult {
        let start = Instant::now();
        let mut attempt = 1;
        let mut last_host = String::new();
        for retries in 0..MAX_TRIES {
            last_host = self.choose_host(&request.region, &last_host);
            let exchange = self.exchange(request, &last_host, attempt);
            let result = tokio::time::timeout(CALL_LIMIT, exchange).await;
            match result.unwrap_or(Err(TryError::Sent)) {
                Ok(reply) => return call_result(request, &reply, start, retries),
                Err(TryError::Sent) => attempt += 1,
                Err(TryError::NotSent) => {}
            }
        }
        CallResult {
            outcome: None,
            kind: "no entry host answered".to_owned(),
            latency_ms: elapsed_ms(start),
            retries: MAX_TRIES - 1,
            wrong_answer: false,
        }
    }

    /// Returns the address of a random live entry host of the region, if possible another one than `last`.
    fn choose_host(&self, region: &str, last: &str) -> String {
        let listed = self.directory.directory();
        let in_region = listed.iter().filter(|entry| entry.region == region);
        let live = in_region.filter(|entry| entry.state == HostState::Live);
        let addresses: Vec<&str> = live.map(|entry| entry.caller_address.as_str()).collect();
        let others: Vec<&str> = addresses
            .iter()
            .copied()
            .filter(|one| *one != last)
            .collect();
        let candidates = match others.is_empty() {
            true => &addresses,
            false => &others,
        };
        let picked = candidates.choose(&mut rand::rng());
        picked.copied().unwrap_or("127.0.0.1:1").to_owned()
    }

    async fn exchange(
        &self,
        request: &DemoRequest,
        host: &str,
        attempt: u32,
    ) -> Result<Reply, TryError> {
        let mut builder = Request::builder()
            .method(request.method())
            .uri(format!("http://{host}{}", request.path))
            .header("x-customer", &request.customer)
            .header("lacewingstile-attempt", attempt);
        if let Some(key) = request.key() {
            builder = builder.header("idempotency-key", key);
        }
        if matches!(request.kind, RequestKind::Chat { .. }) {
            builder = builder.header("lacewingstile-deadline-ms", DEADLINE_MS);
        }
        let http_request = builder.body(Full::new(request.body.clone()));
        let http_request = http_request.map_err(|_| TryError::NotSent)?;
        let response = self.client.request(http_request).await;
        let response = response.map_err(|error| match error.is_connect() {
            true => TryError::NotSent,
            false => TryError::Sent,
        })?;
        read_reply(request, response).await
    }
}

async fn read_reply(
    request: &DemoRequest,
    response: Response<Incoming>,
) -> Result<Reply, TryError> {
    let (head, body) = response.into_parts();
    let outcome = Outcome::from_name(header(&head.headers, "lacewingstile-outcome"));
    let kind = header(&head.headers, "lacewingstile-error").to_owned();
    let is_stream = matches!(request.kind, RequestKind::Chat { stream: true, .. });
    if is_stream && head.status.is_success() {
        return read_stream(body).await;
    }
    let body = body.collect().await.map_err(|_| TryError::Sent)?.to_bytes();
    Ok(Reply {
        outcome,
        kind,
        body,
    })
}

/// Reads a stream; without the end marker, the outcome is that of the error event.
async fn read_stream(mut body: Incoming) -> Result<Reply, TryError> {
    let mut bytes = Vec::new();
    // The gateway aborts the connection after an error event, so the bytes before a read error are used.
    while let Some(Ok(frame)) = body.frame().await {
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    let text = String::from_utf8_lossy(&bytes);
    if text.ends_with("data: [DONE]\n\n") {
        return Ok(Reply {
            outcome: Some(Outcome::Complete),
            kind: String::new(),
            body: bytes.into(),
        });
    }
    let error = text.rsplit("event: error\ndata: ").next();
    let error: Value = error
        .and_then(|json| serde_json::from_str(json.trim()).ok())
        .ok_or(TryError::Sent)?;
    let field = |name: &str| error["error"][name].as_str().unwrap_or("").to_owned();
    Ok(Reply {
        outcome: Outcome::from_name(&field("outcome")),
        kind: field("kind"),
        body: Bytes::new(),
    })
}

fn call_result(request: &DemoRequest, reply: &Reply, start: Instant, retries: u32) -> CallResult {
    let complete = reply.outcome == Some(Outcome::Complete);
    CallResult {
        outcome: reply.outcome,
        kind: reply.kind.clone(),
        latency_ms: elapsed_ms(start),
        retries,
        wrong_answer: complete && !is_answer_to(request, &reply.body),
    }
}

/// Returns whether the body is the complete answer to the request.
fn is_answer_to(request: &DemoRequest, body: &[u8]) -> bool {
    match &request.kind {
        RequestKind::Lookup | RequestKind::Order { .. } => is_plain_answer_to(request, body),
        RequestKind::Chat {
            stream: true,
            answer,
        } => streamed_text(body) == *answer,
        RequestKind::Chat { answer, .. } => {
            let body: Value = serde_json::from_slice(body).unwrap_or_default();
            body["choices"][0]["message"]["content"] == **answer
        }
    }
}

/// Returns whether the path and the key that the fake plain service returns in the body are those of the request.
fn is_plain_answer_to(request: &DemoRequest, body: &[u8]) -> bool {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let path = body["path"].as_str().unwrap_or("?");
    request.path.ends_with(path) && body["key"].as_str() == request.key()
}

fn streamed_text(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    let events = text
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "));
    let chunks = events.filter_map(|json| serde_json::from_str::<Value>(json).ok());
    chunks
        .filter_map(|chunk| Some(chunk["choices"][0]["delta"]["content"].as_str()?.to_owned()))
        .collect()
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

fn elapsed_ms(start: Instant) -> u64 {
    start.elapsed().as_millis() as u64
}
