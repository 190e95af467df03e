//! Requests of the demonstration's callers.

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AskKind {
    /// A chat; the whole answer to its prompt is known beforehand.
    Chat { stream: bool, answer: String },
    /// A lookup at a plain service.
    Lookup,
    /// An order, which must not run twice.
    Order { key: String },
}

/// A request.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) kind: AskKind,
    /// The row of the table that counts it.
    pub(crate) row: Row,
    /// The region of the entry host.
    pub(crate) region: String,
    pub(crate) customer: String,
    pub(crate) path: String,
    pub(crate) body: Bytes,
}

/// A row of the table of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Row {
    Lookup,
    Order,
    Interactive,
    Batch,
}

impl Row {
    /// Every row.
    pub(crate) const ALL: [Self; 4] = [Self::Lookup, Self::Order, Self::Interactive, Self::Batch];

    /// Returns the label of the row.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Order => "order",
            Self::Interactive => "interactive",
            Self::Batch => "batch",
        }
    }
}

impl Ask {
    /// Returns the method.
    pub(crate) fn method(&self) -> Method {
        match self.kind {
            AskKind::Lookup => Method::GET,
            AskKind::Chat { .. } | AskKind::Order { .. } => Method::POST,
        }
    }

    /// Returns the idempotency key of an order.
    pub(crate) fn key(&self) -> Option<&str> {
        match &self.kind {
            AskKind::Order { key } => Some(key),
            AskKind::Chat { .. } | AskKind::Lookup => None,
        }
    }
}

/// Returns the body of a chat request.
pub(crate) fn chat_body(model: &str, prompt: &str, max_tokens: usize, stream: bool) -> Value {
    json!({
        "model": model, "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens, "stream": stream,
    })
}

/// Returns a new idempotency key of a region.
pub(crate) fn new_key(region: &str) -> String {
    format!("{region}.{}", uuid::Uuid::now_v7())
}
