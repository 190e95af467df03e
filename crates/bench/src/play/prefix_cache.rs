//! A prefix cache with bounded capacity.

use lw_base::prelude::*;

/// An LRU cache of prefixes with a capacity in tokens.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity_tokens: u64,
    cached_tokens: u64,
    /// Tokens and logical time of the last use, by prefix.
    entries: FastMap<u64, (u32, u64)>,
    clock: u64,
}

impl PrefixCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            ..Self::default()
        }
    }

    /// Marks a prefix as used and caches it if needed. Returns true if it was already cached.
    pub fn touch(&mut self, prefix: u64, tokens: u32) -> bool {
        self.clock += 1;
        let hit = self.entries.insert(prefix, (tokens, self.clock)).is_some();
        if !hit {
            self.cached_tokens += u64::from(tokens);
            self.evict();
        }
        hit
    }

    /// Removes all prefixes.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.cached_tokens = 0;
    }

    fn evict(&mut self) {
        while self.cached_tokens > self.capacity_tokens && self.entries.len() > 1 {
            let oldest = self.entries.iter().min_by_key(|(_, (_, used))| *used);
            let Some((prefix, (tokens, _))) = oldest.map(|(prefix, entry)| (*prefix, *entry))
            else {
                return;
            };
            self.entries.remove(&prefix);
            self.cached_tokens -= u64::from(tokens);
        }
    }
}
