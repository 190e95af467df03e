//! The prefix cache of the fake engine: a bounded LRU cache of prompt blocks.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use lw_base::{FastMap, stable_hash_pair};
use serde::Serialize;

/// Tokens per cache block.
pub(crate) const BLOCK_TOKENS: usize = 16;

/// Maximum number of retained events.
const MAX_EVENTS: usize = 4_096;

/// The kind of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum CacheEventKind {
    Stored,
    Evicted,
}

/// A change of the cache; sequence numbers start at 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct CacheEvent {
    pub(crate) seq: u64,
    pub(crate) kind: CacheEventKind,
    pub(crate) block: u64,
}

/// The cached blocks; the least recently used one is evicted first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    capacity_blocks: usize,
    last_use: FastMap<u64, u64>,
    block_by_use: BTreeMap<u64, u64>,
    uses: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    last_seq: u64,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity of `capacity_tokens`, rounded down to whole blocks.
    pub(crate) fn new(capacity_tokens: usize) -> Self {
        Self {
            capacity_blocks: capacity_tokens / BLOCK_TOKENS,
            ..Self::default()
        }
    }

    /// Stores the complete blocks of a prompt and returns the length of its cached prefix in tokens.
    pub(crate) fn admit(&mut self, prompt: &[&str], now: Instant) -> usize {
        let mut cached_blocks = 0;
        let mut chain_hash = 0;
        let mut is_prefix = true;
        for block in prompt.chunks_exact(BLOCK_TOKENS) {
            chain_hash = stable_hash_pair(chain_hash, block.join(" ").as_bytes());
            is_prefix &= self.last_use.contains_key(&chain_hash);
            cached_blocks += usize::from(is_prefix);
            self.touch(chain_hash, now);
        }
        cached_blocks * BLOCK_TOKENS
    }

    /// Returns the events with a sequence number above `after` that are not newer than `until`.
    ///
    /// Events whose sequence number is a multiple of `gap_every` are left out as lost; 0 leaves out none.
    pub(crate) fn events(&self, after: u64, until: Instant, gap_every: u64) -> Vec<CacheEvent> {
        let visible = self.events.iter().filter(|(at, event)| {
            let lost = gap_every > 0 && event.seq % gap_every == 0;
            event.seq > after && *at <= until && !lost
        });
        visible.map(|(_, event)| *event).collect()
    }

    /// Evicts all blocks, as a restart of the engine does.
    pub(crate) fn clear(&mut self, now: Instant) {
        while self.evict_one(now) {}
    }

    fn touch(&mut self, block: u64, now: Instant) {
        if self.capacity_blocks == 0 {
            return;
        }
        self.uses += 1;
        match self.last_use.insert(block, self.uses) {
            Some(before) => {
                self.block_by_use.remove(&before);
            }
            None => self.record(CacheEventKind::Stored, block, now),
        }
        self.block_by_use.insert(self.uses, block);
        if self.last_use.len() > self.capacity_blocks {
            self.evict_one(now);
        }
    }

    fn evict_one(&mut self, now: Instant) -> bool {
        let Some((_, block)) = self.block_by_use.pop_first() else {
            return false;
        };
        self.last_use.remove(&block);
        self.record(CacheEventKind::Evicted, block, now);
        true
    }

    fn record(&mut self, kind: CacheEventKind, block: u64, now: Instant) {
        self.last_seq += 1;
        let seq = self.last_seq;
        self.events
            .push_back((now, CacheEvent { seq, kind, block }));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
