//! Counts calls to the key-value service.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::kv::Kv;
use crate::kv_call_kind::KvCallKind;

/// The numbers of calls and failed calls to the key-value service, by kind of call.
#[derive(Debug, Default)]
pub struct CallCounts {
    calls: [AtomicU64; KvCallKind::ALL.len()],
    failures: [AtomicU64; KvCallKind::ALL.len()],
}

impl CallCounts {
    /// Returns a client that counts each call and forwards it to `kv`.
    #[must_use]
    pub fn counting_client(self: &Arc<Self>, kv: Kv) -> Kv {
        let counts = self.clone();
        Kv::new(move |call| {
            let counts = counts.clone();
            let kv = kv.clone();
            Box::pin(async move {
                let index = KvCallKind::of(&call) as usize;
                counts.calls[index].fetch_add(1, Ordering::Relaxed);
                let reply = kv.call(call).await;
                if reply.is_err() {
                    counts.failures[index].fetch_add(1, Ordering::Relaxed);
                }
                reply
            })
        })
    }

    /// Returns the number of calls of `kind`.
    #[must_use]
    pub fn calls(&self, kind: KvCallKind) -> u64 {
        self.calls[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of calls of `kind` that ended in an error, conflicts included.
    #[must_use]
    pub fn failures(&self, kind: KvCallKind) -> u64 {
        self.failures[kind as usize].load(Ordering::Relaxed)
    }
}
