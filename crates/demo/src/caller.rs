//! A caller: it picks an entry host, and another one when its host is gone.

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

use crate::ask::{Ask, AskKind};

/// A caller tries so many entry hosts when connections fail or break.
const MAX_TRIES: u32 = 4;
/// Deadline of a batch request, so that the end of the demonstration does not wait for ten minutes.
const DEADLINE_MS: &str = "60000";
/// Above the deadline, so that the gateway always answers first.
const CALL_LIMIT: Duration = Duration::from_secs(75);

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub(crate) struct Ended {
    /// The outcome; `None` when no entry host gave one.
    pub(crate) outcome: Option<Outcome>,
    /// The error kind, empty for a complete answer.
    pub(crate) kind: String,
    /// The time from the first try to the end.
    pub(crate) latency_ms: u64,
    /// Tries beyond the first one, because an entry host was gone.
    pub(crate) repeats: u32,
    /// Whether a complete answer is not the answer to this request.
    pub(crate) wrong_answer: bool,
}

/// Why a try gave no outcome.
enum Broken {
    NotSent,
    Sent,
}

/// What one try brought.
struct Reply {
    outcome: Option<Outcome>,
    kind: String,
    body: Bytes,
}

/// Sends requests to the entry hosts that the directory names; clones share one client.
#[derive(Clone)]
pub(crate) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    directory: FakeHostList,
}

impl Caller {
    /// Returns a caller that finds entry hosts in `directory`.
    pub(crate) fn new(directory: FakeHostList) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            directory,
        }
    }

    /// Sends a request, again to another host when the first one is gone, and returns how it ended.
    pub(crate) async fn call(&self, ask: &Ask) -> Ended {
        let start = Instant::now();
        let mut attempt = 1;
        let mut last_host = String::new();
        for repeats in 0..MAX_TRIES {
            last_host = self.pick_host(&ask.region, &last_host);
            let exchange = self.exchange(ask, &last_host, attempt);
            let result = tokio::time::timeout(CALL_LIMIT, exchange).await;
            match result.unwrap_or(Err(Broken::Sent)) {
                Ok(reply) => return ended(ask, &reply, start, repeats),
                Err(Broken::Sent) => attempt += 1,
                Err(Broken::NotSent) => {}
            }
        }
        Ended {
            outcome: None,
            kind: "no entry host answered".to_owned(),
            latency_ms: elapsed_ms(start),
            repeats: MAX_TRIES - 1,
            wrong_answer: false,
        }
    }

    /// Returns the address of a random entry host of the region, another one than `last` when there is one.
    fn pick_host(&self, region: &str, last: &str) -> String {
        let listed = self.directory.directory();
        let in_region = listed.iter().filter(|entry| entry.region == region);
        let staying = in_region.filter(|entry| entry.state == HostState::Live);
        let addresses: Vec<&str> = staying.map(|entry| entry.caller_address.as_str()).collect();
        let others: Vec<&str> = addresses
            .iter()
            .copied()
            .filter(|one| *one != last)
            .collect();
        let from = match others.is_empty() {
            true => &addresses,
            false => &others,
        };
        let picked = from.choose(&mut rand::rng());
        picked.copied().unwrap_or("127.0.0.1:1").to_owned()
    }

    async fn exchange(&self, ask: &Ask, host: &str, attempt: u32) -> Result<Reply, Broken> {
        let mut request = Request::builder()
            .method(ask.method())
            .uri(format!("http://{host}{}", ask.path))
            .header("x-customer", &ask.customer)
            .header("lacewingstile-attempt", attempt);
        if let Some(key) = ask.key() {
            request = request.header("idempotency-key", key);
        }
        if matches!(ask.kind, AskKind::Chat { .. }) {
            request = request.header("lacewingstile-deadline-ms", DEADLINE_MS);
        }
        let request = request.body(Full::new(ask.body.clone()));
        let request = request.map_err(|_| Broken::NotSent)?;
        let response = self.client.request(request).await;
        let response = response.map_err(|error| match error.is_connect() {
            true => Broken::NotSent,
            false => Broken::Sent,
        })?;
        read(ask, response).await
    }
}

async fn read(ask: &Ask, response: Response<Incoming>) -> Result<Reply, Broken> {
    let (head, body) = response.into_parts();
    let outcome = Outcome::from_name(header(&head.headers, "lacewingstile-outcome"));
    let kind = header(&head.headers, "lacewingstile-error").to_owned();
    let is_stream = matches!(ask.kind, AskKind::Chat { stream: true, .. });
    if is_stream && head.status.is_success() {
        return read_stream(body).await;
    }
    let body = body.collect().await.map_err(|_| Broken::Sent)?.to_bytes();
    Ok(Reply {
        outcome,
        kind,
        body,
    })
}

/// Reads a stream; it is complete only with its end marker, and otherwise its error event tells the outcome.
async fn read_stream(mut body: Incoming) -> Result<Reply, Broken> {
    let mut bytes = Vec::new();
    // An error event is followed by an aborted connection, so the bytes before the abort count.
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
        .ok_or(Broken::Sent)?;
    let field = |name: &str| error["error"][name].as_str().unwrap_or("").to_owned();
    Ok(Reply {
        outcome: Outcome::from_name(&field("outcome")),
        kind: field("kind"),
        body: Bytes::new(),
    })
}

fn ended(ask: &Ask, reply: &Reply, start: Instant, repeats: u32) -> Ended {
    let complete = reply.outcome == Some(Outcome::Complete);
    Ended {
        outcome: reply.outcome,
        kind: reply.kind.clone(),
        latency_ms: elapsed_ms(start),
        repeats,
        wrong_answer: complete && !is_answer_to(ask, &reply.body),
    }
}

/// Returns whether the body is the whole answer to the request.
fn is_answer_to(ask: &Ask, body: &[u8]) -> bool {
    match &ask.kind {
        AskKind::Lookup | AskKind::Order { .. } => plain_answer_fits(ask, body),
        AskKind::Chat {
            stream: true,
            answer,
        } => streamed_text(body) == *answer,
        AskKind::Chat { answer, .. } => {
            let body: Value = serde_json::from_slice(body).unwrap_or_default();
            body["choices"][0]["message"]["content"] == **answer
        }
    }
}

/// The plain stand-in answers with the path and the key that it received.
fn plain_answer_fits(ask: &Ask, body: &[u8]) -> bool {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let path = body["path"].as_str().unwrap_or("?");
    ask.path.ends_with(path) && body["key"].as_str() == ask.key()
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
