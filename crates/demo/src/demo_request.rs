//! The requests that the demonstration's callers send.

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};

/// The kind of a request, with what is needed to check its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// A chat completion with its expected answer.
    Chat { stream: bool, answer: String },
    /// A lookup at a plain service.
    Lookup,
    /// An order at a plain service, which must not be executed twice.
    Order { key: String },
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct DemoRequest {
    pub(crate) kind: RequestKind,
    /// The row of the traffic table that counts the request.
    pub(crate) class: TrafficClass,
    /// The region whose entry hosts receive the request.
    pub(crate) region: String,
    pub(crate) customer: String,
    pub(crate) path: String,
    pub(crate) body: Bytes,
}

/// A class of requests; the traffic table has one row per class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TrafficClass {
    Lookup,
    Order,
    Interactive,
    Batch,
}

impl TrafficClass {
    /// All classes, in the order of the table.
    pub(crate) const ALL: [Self; 4] = [Self::Lookup, Self::Order, Self::Interactive, Self::Batch];

    /// Returns the label of the class in the table.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Order => "order",
            Self::Interactive => "interactive",
            Self::Batch => "batch",
        }
    }
}

impl DemoRequest {
    /// Returns the HTTP method of the request.
    pub(crate) fn method(&self) -> Method {
        match self.kind {
            RequestKind::Lookup => Method::GET,
            RequestKind::Chat { .. } | RequestKind::Order { .. } => Method::POST,
        }
    }

    /// Returns the idempotency key of an order, or `None` for other requests.
    pub(crate) fn key(&self) -> Option<&str> {
        match &self.kind {
            RequestKind::Order { key } => Some(key),
            RequestKind::Chat { .. } | RequestKind::Lookup => None,
        }
    }
}

/// Returns the JSON body of a chat request.
pub(crate) fn chat_body(model: &str, prompt: &str, max_tokens: usize, stream: bool) -> Value {
    json!({
        "model": model, "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens, "stream": stream,
    })
}

/// Returns a new idempotency key that belongs to a region.
pub(crate) fn new_idempotency_key(region: &str) -> String {
    format!("{region}.{}", uuid::Uuid::now_v7())
}
