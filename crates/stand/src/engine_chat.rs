//! Requests and responses of the fake engine in the format of the OpenAI chat API.

use lw_base::{stable_hash, stable_hash_pair};
use serde::{Deserialize, Serialize};

/// Length of an answer in tokens when the request sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: usize = 16;

/// The request body of `/v1/chat/completions`.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ChatRequest {
    pub(crate) model: String,
    #[serde(default)]
    pub(crate) messages: Vec<ChatMessage>,
    #[serde(default = "default_max_tokens")]
    pub(crate) max_tokens: usize,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    pub(crate) resume_from: usize,
}

/// One message of a prompt.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ChatMessage {
    #[serde(default)]
    pub(crate) content: String,
}

fn default_max_tokens() -> usize {
    DEFAULT_MAX_TOKENS
}

impl ChatRequest {
    /// Returns the contents of all messages, joined by spaces.
    pub(crate) fn prompt(&self) -> String {
        let contents = self.messages.iter().map(|message| message.content.as_str());
        contents.collect::<Vec<_>>().join(" ")
    }
}

/// Returns token `index` of the answer to `prompt`, which is the contents of all messages, joined by spaces.
///
/// Answers are derived from a hash of the prompt, so tests can detect a caller that receives the answer to another
/// prompt.
#[must_use]
pub fn answer_token(prompt: &str, index: usize) -> String {
    let seed = stable_hash(prompt.as_bytes());
    let hash = stable_hash_pair(seed, &index.to_le_bytes());
    format!("t{index}-{:08x} ", hash as u32)
}

/// Returns the first `tokens` tokens of the answer to `prompt`.
#[must_use]
pub fn whole_answer(prompt: &str, tokens: usize) -> String {
    (0..tokens)
        .map(|index| answer_token(prompt, index))
        .collect()
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [ChunkChoice<'a>; 1],
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    content: &'a str,
}

/// Returns the server-sent event for one token; the event of the last token sets `finish_reason`.
pub(crate) fn token_event(id: &str, model: &str, token: &str, is_last: bool) -> String {
    let choice = ChunkChoice {
        index: 0,
        delta: Delta { content: token },
        finish_reason: is_last.then_some("stop"),
    };
    let chunk = Chunk {
        id,
        object: "chat.completion.chunk",
        model,
        choices: [choice],
    };
    let json = serde_json::to_string(&chunk).unwrap_or_default();
    format!("data: {json}\n\n")
}

/// The event that ends a stream.
pub(crate) const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Returns the body of a non-streaming answer.
pub(crate) fn completion_body(
    id: &str,
    request: &ChatRequest,
    content: &str,
    prompt_tokens: usize,
    cached_tokens: usize,
) -> serde_json::Value {
    serde_json::json!({
        "id": id,
        "object": "chat.completion",
        "model": request.model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": "stop",
        }],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": request.max_tokens.saturating_sub(request.resume_from),
            "prompt_tokens_details": {"cached_tokens": cached_tokens},
        },
    })
}
