//! What an engine probably keeps of earlier prompts.

use lw_base::prelude::*;

use crate::prompt::PromptPart;

/// The part of an engine's memory that cached parts may fill; running requests need the rest.
const CACHE_SHARE: f64 = 0.75;

/// An estimate of the parts that one engine keeps, by what hosts have sent there.
#[derive(Clone, Debug, Default)]
pub struct PrefixCacheEstimate {
    parts: FastMap<u64, (u32, MonoMs)>,
    tokens: u64,
}

impl PrefixCacheEstimate {
    /// Notes that the engine reads a part; the least recently used parts yield.
    pub fn record(&mut self, now: MonoMs, part: PromptPart, memory_tokens: u64) {
        let tokens = part.tokens;
        if let Some((old, _)) = self.parts.insert(part.prefix_hash, (tokens, now)) {
            self.tokens -= u64::from(old);
        }
        self.tokens += u64::from(tokens);
        let most = (memory_tokens as f64 * CACHE_SHARE) as u64;
        while self.tokens > most && self.parts.len() > 1 {
            let oldest = self.parts.iter().min_by_key(|(_, (_, used))| *used);
            let Some((&chain, &(tokens, _))) = oldest else {
                return;
            };
            self.parts.remove(&chain);
            self.tokens -= u64::from(tokens);
        }
    }

    /// Returns the tokens of the leading parts that the engine keeps.
    #[must_use]
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        let kept = parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.prefix_hash));
        kept.map(|part| u64::from(part.tokens)).sum()
    }
}
