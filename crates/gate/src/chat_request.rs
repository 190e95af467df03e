//! Fields of a chat request that the gateway reads.

use lw_base::ErrorKind;
use lw_base::stable_hash_pair;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::problem::Problem;

/// The assumed prefill speed, to estimate the time that a cached prefix saves: about 2,500 tokens/s of four bytes each.
const PREFILL_BYTES_PER_MS: f64 = 10.0;
/// The minimum size at which the first message alone is the shared prefix; its prefill takes about 200 ms.
const LONG_MESSAGE_BYTES: usize = 2 * 1024;

/// Fields of a chat request that affect routing.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatRequest<'a> {
    /// The name of the service.
    pub(crate) model: String,
    #[serde(borrow, default)]
    messages: Vec<&'a RawValue>,
}

impl<'a> ChatRequest<'a> {
    /// Parses the body of a request.
    pub(crate) fn parse(body: &'a [u8]) -> Result<Self, Problem> {
        serde_json::from_slice(body).map_err(|error| {
            let message =
                format!("the body is not a valid chat request in JSON; correct it: {error}");
            Problem::new(ErrorKind::BadRequest, message)
        })
    }

    /// Returns the stable hash of the prefix that other requests are likely to share, and the prefill time in
    /// milliseconds that a cached copy saves.
    ///
    /// A long first message is the prefix by itself: many requests share such a text. A short one, such as a common
    /// instruction, is combined with the second message, because all conversations that start with it would otherwise
    /// go to the same targets.
    pub(crate) fn shared_prefix(&self) -> Option<(u64, f64)> {
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
