//! Transfer of records to a new backup.

use lw_base::MonoMs;

use crate::TRANSFER_PART_BYTES;
use crate::record::{Ending, Record, RecordKey};
use crate::shard_table::ShardTable;

/// The encoded size of a record without its response, rounded up.
const RECORD_WIRE_BYTES: usize = 96;

/// How long the owner waits for an acknowledgement before it sends a part again.
const PART_RESEND_MS: u64 = 500;

/// The progress of one transfer; one part is in flight at a time.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) epoch: u64,
    keys: Vec<RecordKey>,
    acknowledged_keys: usize,
    /// How many keys the current part covers, 0 before it is first sent.
    part_keys: usize,
    part: u32,
    next_send_at: MonoMs,
    pub(crate) complete: bool,
}

impl Transfer {
    pub(crate) fn new(epoch: u64, table: &ShardTable, now: MonoMs) -> Self {
        Self {
            epoch,
            keys: table.keys(),
            acknowledged_keys: 0,
            part_keys: 0,
            part: 0,
            next_send_at: now,
            complete: false,
        }
    }

    /// Returns the current part when it must be sent or resent.
    ///
    /// The keys of a part stay the same when it is resent, because an acknowledgement may belong to any transmission.
    pub(crate) fn next_part(
        &mut self,
        table: &ShardTable,
        now: MonoMs,
    ) -> Option<(u32, Vec<Record>)> {
        if self.complete || now < self.next_send_at {
            return None;
        }
        self.next_send_at = now.plus_ms(PART_RESEND_MS);
        if self.part_keys == 0 {
            self.part_keys = self.count_keys(table);
        }
        Some((self.part, self.records(table)))
    }

    /// Advances to the next part when the current one is acknowledged.
    pub(crate) fn acknowledged(&mut self, part: u32, now: MonoMs) {
        if part != self.part || self.complete {
            return;
        }
        self.acknowledged_keys += self.part_keys;
        self.part_keys = 0;
        self.part += 1;
        self.next_send_at = now;
        self.complete = self.acknowledged_keys >= self.keys.len();
    }

    fn count_keys(&self, table: &ShardTable) -> usize {
        let mut bytes = 0;
        let remaining = self.keys[self.acknowledged_keys..].iter();
        let fitting = remaining.take_while(|key| {
            bytes += table.get(key).map_or(0, wire_bytes);
            bytes <= TRANSFER_PART_BYTES
        });
        fitting.count()
    }

    fn records(&self, table: &ShardTable) -> Vec<Record> {
        let mut bytes = 0;
        let mut records = Vec::new();
        let part = self.acknowledged_keys..self.acknowledged_keys + self.part_keys;
        for key in &self.keys[part] {
            let Some(record) = table.get(key) else {
                continue;
            };
            let mut record = record.clone();
            if bytes + wire_bytes(&record) > TRANSFER_PART_BYTES && record.ending.is_some() {
                // The run ended after the part was first sent, and its response does not fit.
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
