//! Estimates which prompt parts an engine has cached.

use std::collections::BTreeSet;

use lw_base::prelude::*;

use crate::prompt::PromptPart;

/// The fraction of an engine's memory that cached parts may fill; running requests need the rest.
const MAX_CACHE_SHARE: f64 = 0.75;

/// The maximum number of parts of one engine that are remembered, however small they are.
const MAX_PARTS: usize = 4_096;

/// The estimated prefix cache of one engine, derived from the requests that hosts have sent to it.
#[derive(Clone, Debug, Default)]
pub struct PrefixCacheEstimate {
    /// The size in tokens and the time of the last use of each part, by its prefix hash.
    parts: FastMap<u64, (u32, MonoMs)>,
    /// The same parts in the order of their last use.
    by_use: BTreeSet<(MonoMs, u64)>,
    tokens: u64,
}

impl PrefixCacheEstimate {
    /// Records the prefill of a part and evicts the least recently used parts above the capacity.
    pub fn record(&mut self, now: MonoMs, part: PromptPart, memory_tokens: u64) {
        let PromptPart {
            prefix_hash,
            tokens,
        } = part;
        if let Some((former_tokens, used)) = self.parts.insert(prefix_hash, (tokens, now)) {
            self.tokens -= u64::from(former_tokens);
            self.by_use.remove(&(used, prefix_hash));
        }
        self.tokens += u64::from(tokens);
        self.by_use.insert((now, prefix_hash));
        let capacity_tokens = (memory_tokens as f64 * MAX_CACHE_SHARE) as u64;
        while self.parts.len() > 1
            && (self.tokens > capacity_tokens || self.parts.len() > MAX_PARTS)
        {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            if let Some((tokens, _)) = self.parts.remove(&oldest) {
                self.tokens -= u64::from(tokens);
            }
        }
    }

    /// Returns the number of parts that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether no part is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
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
