//! Counters of control traffic and control work.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Counters of control traffic and control work.
#[derive(Debug, Default)]
pub(crate) struct ControlCounters {
    pub(crate) sent_frames: AtomicU64,
    pub(crate) sent_bytes: AtomicU64,
    pub(crate) received_frames: AtomicU64,
    pub(crate) received_bytes: AtomicU64,
    pub(crate) dropped_frames: AtomicU64,
    pub(crate) map_reads: AtomicU64,
    pub(crate) map_writes: AtomicU64,
    pub(crate) load_polls: AtomicU64,
    busy_ns: AtomicU64,
}

impl ControlCounters {
    pub(crate) fn record_sent(&self, bytes: usize) {
        add(&self.sent_frames, 1);
        add(&self.sent_bytes, bytes as u64);
    }

    pub(crate) fn record_received(&self, bytes: usize) {
        add(&self.received_frames, 1);
        add(&self.received_bytes, bytes as u64);
    }

    pub(crate) fn record_work(&self, span: Duration) {
        add(
            &self.busy_ns,
            u64::try_from(span.as_nanos()).unwrap_or(u64::MAX),
        );
    }

    pub(crate) fn busy_us(&self) -> u64 {
        get(&self.busy_ns) / 1_000
    }
}

pub(crate) fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}

pub(crate) fn get(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}
