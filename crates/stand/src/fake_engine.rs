//! A fake model engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use lw_plat::{EngineCommand, EngineState};

use crate::engine_http::handle_request;
use crate::engine_options::EngineOptions;
use crate::engine_shared::{EngineShared, EngineTotals};
use crate::http_server::{ServerHandle, start};

/// A fake model engine with continuous batching, a prefix cache and fault injection; clones share one engine.
#[derive(Clone)]
pub struct FakeEngine {
    shared: Arc<EngineShared>,
}

impl FakeEngine {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(options: EngineOptions) -> Self {
        Self {
            shared: Arc::new(EngineShared::new(options)),
        }
    }

    /// Serves the engine over HTTP.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(&self, address: SocketAddr) -> std::io::Result<ServerHandle> {
        let shared = self.shared.clone();
        start(address, move |request| {
            handle_request(shared.clone(), request)
        })
        .await
    }

    /// Multiplies the prefill and decode times by `factor`, relative to the options.
    pub fn slow_down(&self, factor: f64) {
        self.shared.faults.lock().slow_factor = factor;
        self.shared.sample_load();
    }

    /// Makes the engine refuse the next `count` completions before they start.
    pub fn refuse(&self, count: u32) {
        self.shared.faults.lock().refusals_left = count;
    }

    /// Makes the engine abort the connection of the next `count` completions after `tokens` tokens.
    pub fn abort_completions_after_tokens(&self, tokens: usize, count: u32) {
        let mut faults = self.shared.faults.lock();
        faults.abort_after_tokens = tokens;
        faults.aborts_left = count;
    }

    /// Makes the engine answer the next `count` completions with the attempt id of another request.
    pub fn answer_with_wrong_attempt(&self, count: u32) {
        self.shared.faults.lock().wrong_attempts_left = count;
    }

    /// Pauses or resumes the whole engine.
    pub fn set_paused(&self, paused: bool) {
        self.shared.paused.send_replace(paused);
    }

    /// Empties the prefix cache.
    pub fn clear_cache(&self) {
        self.shared.cache.lock().clear(Instant::now());
    }

    /// Calls `observer` with the prompt of each completion that the engine accepts.
    pub fn observe(&self, observer: impl Fn(&str) + Send + Sync + 'static) {
        *self.shared.observer.lock() = Some(Box::new(observer));
    }

    /// Returns the counters since the start of the engine.
    #[must_use]
    pub fn totals(&self) -> EngineTotals {
        *self.shared.totals.lock()
    }

    /// Returns the numbers of queued and of running completions.
    #[must_use]
    pub fn queued_and_running(&self) -> (usize, usize) {
        self.shared.slots.counts()
    }

    /// Returns the state that `/state` reports.
    #[must_use]
    pub fn state(&self) -> EngineState {
        self.shared.commands.lock().state.clone()
    }

    /// Returns the applied commands, in order.
    #[must_use]
    pub fn commands(&self) -> Vec<EngineCommand> {
        self.shared.commands.lock().applied.clone()
    }

    /// Returns the number of commands that were applied although the engine had seen a higher fencing number.
    #[must_use]
    pub fn stale_commands(&self) -> u64 {
        self.shared.commands.lock().stale_applied
    }
}
