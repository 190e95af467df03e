//! A fake of the platform's key-value service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use lw_base::MonoMs;
use lw_plat::{Kv, KvCall, KvCallKind, KvError, KvReply};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::http_server::{ServerHandle, start};
use crate::kv_http::handle_request;
use crate::kv_limits::{KvLimits, KvTraffic, TokenBucket};
use crate::kv_store::KvStore;

/// Interval at which a waiting watch checks for expired leases.
const WATCH_POLL_MS: u64 = 50;

type Clock = Arc<dyn Fn() -> MonoMs + Send + Sync>;

/// A fake key-value service with fault injection; clones share one store.
#[derive(Clone)]
pub struct FakeKv {
    state: Arc<Mutex<State>>,
    clock: Clock,
    changes: watch::Sender<u64>,
}

struct State {
    store: KvStore,
    reads: TokenBucket,
    writes: TokenBucket,
    traffic: KvTraffic,
    outage: bool,
    delay_ms: u64,
    replies_to_drop: u32,
}

impl Default for FakeKv {
    fn default() -> Self {
        let start = Instant::now();
        Self::with_clock(move || MonoMs(start.elapsed().as_millis() as u64))
    }
}

impl FakeKv {
    /// Creates a service whose leases and rate limits use the given clock.
    pub fn with_clock(clock: impl Fn() -> MonoMs + Send + Sync + 'static) -> Self {
        let now = clock();
        let limits = KvLimits::default();
        let state = State {
            store: KvStore::default(),
            reads: TokenBucket::new(limits.reads_per_s, now),
            writes: TokenBucket::new(limits.writes_per_s, now),
            traffic: KvTraffic::default(),
            outage: false,
            delay_ms: 0,
            replies_to_drop: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            clock: Arc::new(clock),
            changes: watch::Sender::new(0),
        }
    }

    /// Serves the store over HTTP.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(&self, address: SocketAddr) -> std::io::Result<ServerHandle> {
        let fake = self.clone();
        start(address, move |request| {
            handle_request(fake.clone(), request)
        })
        .await
    }

    /// Returns an in-process client of the same store, without HTTP.
    #[must_use]
    pub fn kv(&self) -> Kv {
        let fake = self.clone();
        Kv::new(move |call| {
            let fake = fake.clone();
            Box::pin(async move { fake.perform(call).await })
        })
    }

    /// Starts or ends an outage; an outage ends waiting watches with an error.
    pub fn set_outage(&self, outage: bool) {
        self.state.lock().outage = outage;
        self.notify_watches();
    }

    /// Delays each call before it takes effect, in milliseconds; a call takes effect even if its caller stops waiting.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.state.lock().delay_ms = delay_ms;
    }

    /// Drops the replies to the next `count` writes, which still take effect.
    pub fn drop_replies(&self, count: u32) {
        self.state.lock().replies_to_drop = count;
    }

    /// Reverts the last `count` changes of keys; leases and their epochs are kept.
    pub fn revert_last_writes(&self, count: usize) {
        self.state.lock().store.revert_last_writes(count);
        self.notify_watches();
    }

    /// Replaces the rate limits.
    pub fn set_limits(&self, limits: KvLimits) {
        let now = (self.clock)();
        let mut state = self.state.lock();
        state.reads = TokenBucket::new(limits.reads_per_s, now);
        state.writes = TokenBucket::new(limits.writes_per_s, now);
    }

    /// Returns the call counts since the start.
    #[must_use]
    pub fn traffic(&self) -> KvTraffic {
        self.state.lock().traffic
    }

    /// Performs a call, subject to the injected faults and the rate limits.
    pub(crate) async fn perform(&self, call: KvCall) -> Result<KvReply, KvError> {
        let delay_ms = self.state.lock().delay_ms;
        if delay_ms == 0 {
            return self.perform_now(call).await;
        }
        // Runs in a separate task, so that the call takes effect even if the caller stops waiting.
        let fake = self.clone();
        let delayed_call = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            fake.perform_now(call).await
        });
        delayed_call.await.unwrap_or(Err(KvError::ReplyLost))
    }

    async fn perform_now(&self, call: KvCall) -> Result<KvReply, KvError> {
        self.admit(&call)?;
        match call {
            KvCall::Watch { wait_ms, .. } => self.wait_for_change(call, wait_ms).await,
            call => self.apply_call(call),
        }
    }

    fn admit(&self, call: &KvCall) -> Result<(), KvError> {
        let now = (self.clock)();
        let is_write = KvCallKind::of(call).is_write();
        let mut state = self.state.lock();
        let state = &mut *state;
        let bucket = match is_write {
            true => &mut state.writes,
            false => &mut state.reads,
        };
        if state.outage || !bucket.take(1.0, now) {
            state.traffic.refused += 1;
            return Err(KvError::Unavailable);
        }
        match is_write {
            true => state.traffic.writes += 1,
            false => state.traffic.reads += 1,
        }
        Ok(())
    }

    fn apply_call(&self, call: KvCall) -> Result<KvReply, KvError> {
        let is_write = KvCallKind::of(&call).is_write();
        let mut state = self.state.lock();
        let reply = state.store.apply((self.clock)(), call);
        if !is_write {
            return reply;
        }
        let dropped = state.replies_to_drop > 0;
        state.replies_to_drop = state.replies_to_drop.saturating_sub(1);
        drop(state);
        self.notify_watches();
        if dropped {
            return Err(KvError::ReplyLost);
        }
        reply
    }

    async fn wait_for_change(&self, call: KvCall, wait_ms: u64) -> Result<KvReply, KvError> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut changes = self.changes.subscribe();
        loop {
            changes.mark_unchanged();
            let reply = {
                let mut state = self.state.lock();
                if state.outage {
                    return Err(KvError::Unavailable);
                }
                state.store.apply((self.clock)(), call.clone())
            };
            let left = deadline.saturating_duration_since(Instant::now());
            if reply != Ok(KvReply::Unchanged) || left.is_zero() {
                return reply;
            }
            let pause = left.min(Duration::from_millis(WATCH_POLL_MS));
            let _ = tokio::time::timeout(pause, changes.changed()).await;
        }
    }

    fn notify_watches(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}
