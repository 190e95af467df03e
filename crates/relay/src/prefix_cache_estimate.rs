//! Estimates which prompt parts an engine has cached.

use lw_base::prelude::*;

use crate::prompt::PromptPart;

/// The fraction of an engine's memory that cached parts may fill; running requests need the rest.
const MAX_CACHE_SHARE: f64 = 0.75;

/// The estimated prefix cache of one engine, derived from the requests that hosts have sent to it.
#[derive(Clone, Debug, Default)]
pub struct PrefixCacheEstimate {
    /// The size in tokens and the time of the last use of each part, by its prefix hash.
    parts: FastMap<u64, (u32, MonoMs)>,
    tokens: u64,
}

impl PrefixCacheEstimate {
    /// Records the prefill of a part and evicts the least recently used parts above the capacity.
    pub fn record(&mut self, now: MonoMs, part: PromptPart, memory_tokens: u64) {
        let tokens = part.tokens;
        if let Some((former_tokens, _)) = self.parts.insert(part.prefix_hash, (tokens, now)) {
            self.tokens -= u64::from(former_tokens);
        }
        self.tokens += u64::from(tokens);
        let capacity_tokens = (memory_tokens as f64 * MAX_CACHE_SHARE) as u64;
        while self.tokens > capacity_tokens && self.parts.len() > 1 {
            let oldest = self.parts.iter().min_by_key(|(_, (_, used))| *used);
            let Some((&prefix_hash, &(tokens, _))) = oldest else {
                return;
            };
            self.parts.remove(&prefix_hash);
            self.tokens -= u64::from(tokens);
        }
    }

    /// Returns the tokens of the leading parts that the engine has cached.
    #[must_use]
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        let cached = parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.prefix_hash));
        cached.map(|part| u64::from(part.tokens)).sum()
    }
}
