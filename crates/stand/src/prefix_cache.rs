//! The prefix cache of the engine stand-in: blocks of prompt tokens in bounded memory.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use lw_base::{FastMap, stable_hash_pair};
use serde::Serialize;

/// Tokens per cache block.
pub(crate) const BLOCK_TOKENS: usize = 16;

/// How many events are kept for readers.
const MAX_EVENTS: usize = 4_096;

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum CacheEventKind {
    Stored,
    Evicted,
}

/// A change of the cache, numbered from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct CacheEvent {
    pub(crate) seq: u64,
    pub(crate) kind: CacheEventKind,
    pub(crate) block: u64,
}

/// The blocks in memory, least recently used first out.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    capacity_blocks: usize,
    used_at: FastMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    last_seq: u64,
}

impl PrefixCache {
    /// Builds an empty cache for `capacity_tokens`.
    pub(crate) fn new(capacity_tokens: usize) -> Self {
        Self {
            capacity_blocks: capacity_tokens / BLOCK_TOKENS,
            ..Self::default()
        }
    }

    /// Stores the whole blocks of a prompt and returns how many of its first tokens were cached already.
    pub(crate) fn admit(&mut self, prompt: &[&str], now: Instant) -> usize {
        let mut cached_blocks = 0;
        let mut chain = 0;
        let mut is_prefix = true;
        for block in prompt.chunks_exact(BLOCK_TOKENS) {
            chain = stable_hash_pair(chain, block.join(" ").as_bytes());
            is_prefix &= self.used_at.contains_key(&chain);
            cached_blocks += usize::from(is_prefix);
            self.touch(chain, now);
        }
        cached_blocks * BLOCK_TOKENS
    }

    /// Returns the events after `after` that happened before `until`, without each `gap_every`th one.
    pub(crate) fn events(&self, after: u64, until: Instant, gap_every: u64) -> Vec<CacheEvent> {
        let visible = self.events.iter().filter(|(at, event)| {
            let lost = gap_every > 0 && event.seq % gap_every == 0;
            event.seq > after && *at <= until && !lost
        });
        visible.map(|(_, event)| *event).collect()
    }

    /// Drops all blocks, as after a restart.
    pub(crate) fn clear(&mut self, now: Instant) {
        while self.evict_one(now) {}
    }

    fn touch(&mut self, block: u64, now: Instant) {
        if self.capacity_blocks == 0 {
            return;
        }
        self.uses += 1;
        match self.used_at.insert(block, self.uses) {
            Some(before) => {
                self.by_use.remove(&before);
            }
            None => self.record(CacheEventKind::Stored, block, now),
        }
        self.by_use.insert(self.uses, block);
        if self.used_at.len() > self.capacity_blocks {
            self.evict_one(now);
        }
    }

    fn evict_one(&mut self, now: Instant) -> bool {
        let Some((_, block)) = self.by_use.pop_first() else {
            return false;
        };
        self.used_at.remove(&block);
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
