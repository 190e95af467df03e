//! The prompt of a request, as described in its headers.

use lw_base::stable_hash_pair;
use lw_quarantine::PartKey;

/// The maximum number of parts that are parsed; the leading parts matter most for caching.
const MAX_PARTS: usize = 16;

/// Minimum size of a shared prefix with an owner; repeating its prefill takes some tens of milliseconds.
const MIN_SHARED_PREFIX_TOKENS: u64 = 1_024;

/// The count that stands for any larger one, so that sums of counts do not overflow.
const MAX_TOKENS: u64 = u32::MAX as u64;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The hash of this part and all parts before it, because a cached part helps only together with all parts before
    /// it.
    pub prefix_hash: u64,
    /// The size of this part alone.
    pub tokens: u32,
}

/// The prompt and the size of a request to an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in order.
    pub parts: Vec<PromptPart>,
    /// The keys of all parts but the last, which belongs to the request or its session.
    pub shared_parts: Vec<PartKey>,
    /// The tokens of the prompt.
    pub input_tokens: u64,
    /// The maximum number of generated tokens.
    pub output_tokens: u64,
}

impl Prompt {
    /// Parses the counts `INPUT,OUTPUT` and the parts `ID:TOKENS,...`; malformed text counts as absent.
    #[must_use]
    pub fn parse(counts: Option<&str>, parts: Option<&str>) -> Self {
        let (input, output) = counts
            .and_then(|text| text.split_once(','))
            .unwrap_or_default();
        let parts = parts.unwrap_or_default();
        let ids = parts.split(',').map(|part| {
            let id = part.split_once(':').map_or(part, |(id, _)| id);
            PartKey::of_id(id.trim().as_bytes())
        });
        let mut shared_parts: Vec<PartKey> = ids.collect();
        shared_parts.pop();
        let mut prompt = Self {
            parts: Vec::new(),
            shared_parts,
            input_tokens: parse_tokens(input),
            output_tokens: parse_tokens(output),
        };
        let mut prefix_hash = 0;
        for part in parts.split(',').take(MAX_PARTS) {
            let Some((id, tokens)) = part.trim().split_once(':') else {
                break;
            };
            let Ok(tokens) = tokens.parse() else {
                break;
            };
            prefix_hash = stable_hash_pair(prefix_hash, id.as_bytes());
            prompt.parts.push(PromptPart {
                prefix_hash,
                tokens,
            });
        }
        let part_tokens: u64 = prompt.parts.iter().map(|part| u64::from(part.tokens)).sum();
        prompt.input_tokens = prompt.input_tokens.max(part_tokens);
        prompt
    }

    /// Returns the hash of the shared prefix of a long prompt, and `None` for a short one.
    ///
    /// The last part is specific to the request and never shared.
    #[must_use]
    pub fn shared_prefix(&self) -> Option<u64> {
        let shared = self.parts.split_last()?.1;
        let tokens: u64 = shared.iter().map(|part| u64::from(part.tokens)).sum();
        (tokens >= MIN_SHARED_PREFIX_TOKENS).then_some(shared.last()?.prefix_hash)
    }

    /// Returns the tokens that are not part of the shared prefix.
    #[must_use]
    pub fn unshared_tokens(&self) -> u64 {
        let shared = self
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let shared: u64 = shared.iter().map(|part| u64::from(part.tokens)).sum();
        self.input_tokens.saturating_sub(shared)
    }

    /// Returns the tokens that the request occupies in an engine's memory when it completes.
    #[must_use]
    pub fn total_tokens(&self) -> u64 {
        self.input_tokens + self.output_tokens
    }
}

fn parse_tokens(text: &str) -> u64 {
    let tokens: u64 = text.trim().parse().unwrap_or_default();
    tokens.min(MAX_TOKENS)
}
