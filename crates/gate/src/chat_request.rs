//! The parts of a chat request that the gateway reads.

use lw_base::ErrorKind;
use lw_base::stable_hash_pair;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::problem::Problem;

/// Prefill speed that the saved time of a cached prefix is estimated with, in bytes of text per ms; about 2,500
/// tokens/s of four bytes.
const PREFILL_BYTES_PER_MS: f64 = 10.0;
/// A first message of this size is worth a cache of its own; its prefill takes about 200 ms.
const LONG_MESSAGE_BYTES: usize = 2 * 1024;

/// The fields of a chat request that decide where it goes.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatRequest<'a> {
    /// The name of the service.
    pub(crate) model: String,
    #[serde(borrow, default)]
    messages: Vec<&'a RawValue>,
}

impl<'a> ChatRequest<'a> {
    /// Reads the body of a request.
    pub(crate) fn parse(body: &'a [u8]) -> Result<Self, Problem> {
        serde_json::from_slice(body).map_err(|error| {
            let message = format!("the body is not a chat request in JSON: {error}");
            Problem::new(ErrorKind::BadRequest, message)
        })
    }

    /// Returns the stable hash of the prefix that other requests are likely to share, and the prefill time that a cache
    /// of it saves, in milliseconds.
    ///
    /// A long first message is a text that many questions refer to. After a short one, such as a common instruction,
    /// the second message tells conversations apart, so that they do not all crowd on the same targets.
    pub(crate) fn prefix(&self) -> Option<(u64, f64)> {
        let first = self.messages.first()?;
        let count = if first.get().len() >= LONG_MESSAGE_BYTES {
            1
        } else {
            2
        };
        let shared = &self.messages[..count.min(self.messages.len())];
        let hash = shared.iter().fold(0, |hash, message| {
            stable_hash_pair(hash, message.get().as_bytes())
        });
        let bytes: usize = shared.iter().map(|message| message.get().len()).sum();
        Some((hash, bytes as f64 / PREFILL_BYTES_PER_MS))
    }
}
