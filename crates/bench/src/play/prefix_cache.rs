//! A prefix cache in limited memory.

use lw_base::prelude::*;

/// Keeps the most recently used prefixes within a number of tokens.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity_tokens: u64,
    held_tokens: u64,
    /// Tokens and time of the last use by prefix.
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

    /// Uses a prefix; returns true when it was cached. Afterwards it is.
    pub fn touch(&mut self, prefix: u64, tokens: u32) -> bool {
        self.clock += 1;
        let hit = self.entries.insert(prefix, (tokens, self.clock)).is_some();
        if !hit {
            self.held_tokens += u64::from(tokens);
            self.evict();
        }
        hit
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.held_tokens = 0;
    }

    fn evict(&mut self) {
        while self.held_tokens > self.capacity_tokens && self.entries.len() > 1 {
            let oldest = self.entries.iter().min_by_key(|(_, (_, used))| *used);
            let Some((prefix, (tokens, _))) = oldest.map(|(prefix, entry)| (*prefix, *entry))
            else {
                return;
            };
            self.entries.remove(&prefix);
            self.held_tokens -= u64::from(tokens);
        }
    }
}
