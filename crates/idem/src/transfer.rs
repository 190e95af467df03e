//! Filling a new backup.

use lw_base::MonoMs;

use crate::TRANSFER_PART_BYTES;
use crate::record::{Ending, Record, RecordKey};
use crate::shard_table::ShardTable;

/// The encoded size of a record besides its answer, rounded up.
const RECORD_WIRE_BYTES: usize = 96;

/// How long the owner waits for an acknowledgement before it sends a part again.
const RESEND_MS: u64 = 500;

/// The progress of one transfer; one part is on the way at a time.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) epoch: u64,
    keys: Vec<RecordKey>,
    sent_keys: usize,
    /// How many keys the current part covers, 0 before it is first sent.
    part_keys: usize,
    part: u32,
    next_at: MonoMs,
    pub(crate) complete: bool,
}

impl Transfer {
    pub(crate) fn new(epoch: u64, table: &ShardTable, now: MonoMs) -> Self {
        Self {
            epoch,
            keys: table.keys(),
            sent_keys: 0,
            part_keys: 0,
            part: 0,
            next_at: now,
            complete: false,
        }
    }

    /// Returns the current part when it is due.
    ///
    /// The keys of a part stay the same when it is sent again: an acknowledgement may answer any of the sendings.
    pub(crate) fn due(&mut self, table: &ShardTable, now: MonoMs) -> Option<(u32, Vec<Record>)> {
        if self.complete || now < self.next_at {
            return None;
        }
        self.next_at = now.plus_ms(RESEND_MS);
        if self.part_keys == 0 {
            self.part_keys = self.count_keys(table);
        }
        Some((self.part, self.records(table)))
    }

    /// Moves on after the acknowledgement of a part.
    pub(crate) fn acknowledged(&mut self, part: u32, now: MonoMs) {
        if part != self.part || self.complete {
            return;
        }
        self.sent_keys += self.part_keys;
        self.part_keys = 0;
        self.part += 1;
        self.next_at = now;
        self.complete = self.sent_keys >= self.keys.len();
    }

    fn count_keys(&self, table: &ShardTable) -> usize {
        let mut bytes = 0;
        let rest = self.keys[self.sent_keys..].iter();
        let fitting = rest.take_while(|key| {
            bytes += table.get(key).map_or(0, wire_bytes);
            bytes <= TRANSFER_PART_BYTES
        });
        fitting.count()
    }

    fn records(&self, table: &ShardTable) -> Vec<Record> {
        let mut bytes = 0;
        let mut records = Vec::new();
        let part = self.sent_keys..self.sent_keys + self.part_keys;
        for key in &self.keys[part] {
            let Some(record) = table.get(key) else {
                continue;
            };
            let mut record = record.clone();
            if bytes + wire_bytes(&record) > TRANSFER_PART_BYTES && record.ending.is_some() {
                // The run ended after the part was first sent, and its answer does not fit.
                record.ending = Some(Ending::NotKept);
            }
            bytes += wire_bytes(&record);
            records.push(record);
        }
        records
    }
}

fn wire_bytes(record: &Record) -> usize {
    RECORD_WIRE_BYTES + record.ending.as_ref().map_or(0, Ending::kept_bytes)
}
