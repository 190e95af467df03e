//! The fake key-value service with a virtual clock.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use futures_util::FutureExt;
use lw_base::MonoMs;
use lw_plat::{CallCounts, Kv, KvCallKind};
use lw_stand::{FakeKv, KvLimits};
use serde::Serialize;

/// Number of calls on the key-value service by kind; a watch counts as one call, however long it waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct KvCalls {
    /// Reads and lists.
    pub reads: f64,
    /// Watches.
    pub watches: f64,
    /// Writes, deletes, and calls on leases.
    pub writes: f64,
}

impl KvCalls {
    pub(crate) fn of(counts: &CallCounts) -> Self {
        let mut calls = Self::default();
        for kind in KvCallKind::ALL {
            let count = counts.calls(kind) as f64;
            match kind {
                KvCallKind::Watch => calls.watches += count,
                kind if kind.is_write() => calls.writes += count,
                _ => calls.reads += count,
            }
        }
        calls
    }

    pub(crate) fn since(self, earlier: Self) -> Self {
        Self {
            reads: self.reads - earlier.reads,
            watches: self.watches - earlier.watches,
            writes: self.writes - earlier.writes,
        }
    }

    pub(crate) fn scaled(self, factor: f64) -> Self {
        Self {
            reads: self.reads * factor,
            watches: self.watches * factor,
            writes: self.writes * factor,
        }
    }

    /// Returns the calls that count against the read limit.
    #[must_use]
    pub fn all_reads(self) -> f64 {
        self.reads + self.watches
    }
}

/// The key-value service without rate limits, so that the measurement sees the full demand.
pub(crate) struct KvService {
    pub(crate) fake: FakeKv,
    clock: Arc<AtomicU64>,
}

impl KvService {
    pub(crate) fn new() -> Self {
        let clock = Arc::new(AtomicU64::new(0));
        let time = clock.clone();
        let fake = FakeKv::with_clock(move || MonoMs(time.load(Ordering::Relaxed)));
        fake.set_limits(KvLimits {
            reads_per_s: 1e12,
            writes_per_s: 1e12,
        });
        Self { fake, clock }
    }

    pub(crate) fn set_now(&self, now_ms: u64) {
        self.clock.store(now_ms, Ordering::Relaxed);
    }

    /// Returns a client whose calls are added to `counts`.
    pub(crate) fn counting_client(&self, counts: &Arc<CallCounts>) -> Kv {
        counts.counting_client(self.fake.kv())
    }
}

/// Returns the result of a future that completes on its first poll, as calls on the fake service without delay do.
///
/// Panics if the future is pending.
pub(crate) fn resolve_immediately<T>(future: impl Future<Output = T>) -> T {
    future
        .now_or_never()
        .expect("a call on the fake service without delay completes on its first poll")
}
