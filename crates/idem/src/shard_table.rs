//! The records of one shard.

use std::collections::VecDeque;

use lw_base::{FastMap, WallMs};

use crate::record::{ClaimId, Ending, Record, RecordKey};

/// How long the outcome of a key is kept after its issue time or the end of its run, whichever is later.
pub const RECORD_WINDOW_MS: u64 = 600_000;

/// How much longer records are kept than their keys are accepted, because the wall clocks of owner and backup differ.
const RECORD_MARGIN_MS: u64 = 10_000;

/// The memory that one record occupies besides its response, including the overhead of the hash map.
const RECORD_BYTES: usize = 256;

/// The records of one shard, bounded in memory.
#[derive(Debug)]
pub struct ShardTable {
    records: FastMap<RecordKey, Record>,
    /// Keys in the order in which their responses were stored, for eviction.
    response_keys: VecDeque<RecordKey>,
    bytes: usize,
    max_bytes: usize,
    watermark: WallMs,
}

impl ShardTable {
    /// Builds an empty table that occupies at most `max_bytes` bytes.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            records: FastMap::default(),
            response_keys: VecDeque::new(),
            bytes: 0,
            max_bytes,
            watermark: WallMs(0),
        }
    }

    /// Returns the record of a key.
    #[must_use]
    pub fn get(&self, key: &RecordKey) -> Option<&Record> {
        self.records.get(key)
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true when there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the bytes that the table occupies.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Raises the low watermark to [`RECORD_WINDOW_MS`] before `wall`, and returns it: keys without a record that were
    /// issued earlier are expired.
    pub fn watermark(&mut self, wall: WallMs) -> WallMs {
        self.raise_watermark(WallMs(wall.0.saturating_sub(RECORD_WINDOW_MS)));
        self.watermark
    }

    /// Raises the low watermark; a lower value has no effect.
    pub fn raise_watermark(&mut self, to: WallMs) {
        self.watermark = self.watermark.max(to);
    }

    /// Stores a record, evicting responses when needed; returns false when the table is full of claims.
    #[must_use]
    pub fn insert(&mut self, record: Record) -> bool {
        let response_bytes = record.ending.as_ref().map_or(0, Ending::kept_bytes);
        let known = self.records.contains_key(&record.key);
        let new_bytes = if known { 0 } else { RECORD_BYTES };
        if !self.make_room(new_bytes + response_bytes) {
            return false;
        }
        if response_bytes > 0 {
            self.response_keys.push_back(record.key);
        }
        self.bytes += response_bytes + RECORD_BYTES;
        if let Some(former) = self.records.insert(record.key, record) {
            self.bytes -= record_bytes(&former);
        }
        true
    }

    /// Stores how the run of a claim ended; returns false when the record belongs to another claim or has an ending.
    pub fn end(&mut self, key: &RecordKey, claim: ClaimId, ending: Ending, ended: WallMs) -> bool {
        let matches = self.records.get(key).is_some_and(|record| {
            record.claim == claim
                && (record.ending.is_none() || record.ending == Some(Ending::Unknown))
        });
        if !matches {
            return false;
        }
        let ending = if self.make_room(ending.kept_bytes()) {
            ending
        } else {
            Ending::NotKept
        };
        if ending.kept_bytes() > 0 {
            self.response_keys.push_back(*key);
            self.bytes += ending.kept_bytes();
        }
        if let Some(record) = self.records.get_mut(key) {
            record.ending = Some(ending);
            record.ended = Some(ended);
        }
        true
    }

    /// Removes the record of a claim that did not run; returns false when the record belongs to another claim.
    pub fn release(&mut self, key: &RecordKey, claim: ClaimId) -> bool {
        let matches = self
            .records
            .get(key)
            .is_some_and(|record| record.claim == claim && record.ending.is_none());
        if matches {
            self.remove(key);
        }
        matches
    }

    /// Removes expired records, except those of `running` claims.
    pub fn sweep(&mut self, wall: WallMs, running: impl Fn(&RecordKey) -> bool) {
        self.watermark(wall);
        let expired: Vec<RecordKey> = self
            .records
            .values()
            .filter(|record| {
                let last = record.issued.max(record.ended.unwrap_or_default());
                last.plus_ms(RECORD_WINDOW_MS + RECORD_MARGIN_MS) < wall
                    && record.issued < self.watermark
            })
            .map(|record| record.key)
            .filter(|key| !running(key))
            .collect();
        for key in expired {
            self.remove(&key);
        }
        let records = &self.records;
        self.response_keys.retain(|key| records.contains_key(key));
    }

    /// Returns all keys in order, for a transfer.
    #[must_use]
    pub fn keys(&self) -> Vec<RecordKey> {
        let mut keys: Vec<RecordKey> = self.records.keys().copied().collect();
        keys.sort_unstable();
        keys
    }

    fn remove(&mut self, key: &RecordKey) {
        if let Some(record) = self.records.remove(key) {
            self.bytes -= record_bytes(&record);
        }
    }

    /// Evicts the oldest responses until `bytes` more fit; returns false when they do not.
    fn make_room(&mut self, bytes: usize) -> bool {
        while self.bytes + bytes > self.max_bytes {
            let Some(key) = self.response_keys.pop_front() else {
                return false;
            };
            let Some(record) = self.records.get_mut(&key) else {
                continue;
            };
            let freed = record.ending.as_ref().map_or(0, Ending::kept_bytes);
            if freed > 0 {
                record.ending = Some(Ending::NotKept);
                self.bytes -= freed;
            }
        }
        true
    }
}

fn record_bytes(record: &Record) -> usize {
    RECORD_BYTES + record.ending.as_ref().map_or(0, Ending::kept_bytes)
}
