//! The stand-in of a model engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use lw_plat::{EngineCommand, EngineState};

use crate::engine_http::answer;
use crate::engine_options::EngineOptions;
use crate::engine_shared::{EngineShared, EngineTotals};
use crate::http_server::{ServerHandle, start};

/// A model engine with continuous batching, a prefix cache and knobs for faults; clones share one engine.
#[derive(Clone)]
pub struct FakeEngine {
    shared: Arc<EngineShared>,
}

impl FakeEngine {
    /// Builds an idle engine.
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
        start(address, move |request| answer(shared.clone(), request)).await
    }

    /// Makes prompts and tokens take `factor` times as long.
    pub fn slow_down(&self, factor: f64) {
        self.shared.knobs.lock().slow_factor = factor;
        self.shared.sample_load();
    }

    /// Refuses the next `count` completions before they start.
    pub fn refuse(&self, count: u32) {
        self.shared.knobs.lock().to_refuse = count;
    }

    /// Breaks the connection of the next `count` completions after so many tokens.
    pub fn break_after_tokens(&self, tokens: usize, count: u32) {
        let mut knobs = self.shared.knobs.lock();
        knobs.break_after_tokens = tokens;
        knobs.to_break = count;
    }

    /// Answers the next `count` completions with the attempt id of another request.
    pub fn answer_with_wrong_attempt(&self, count: u32) {
        self.shared.knobs.lock().to_mislabel = count;
    }

    /// Pauses the whole engine, or lets it go on.
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

    /// Returns what the engine did since its start.
    #[must_use]
    pub fn totals(&self) -> EngineTotals {
        *self.shared.totals.lock()
    }

    /// Returns the numbers of waiting and of running completions now.
    #[must_use]
    pub fn queued_and_running(&self) -> (usize, usize) {
        self.shared.slots.counts()
    }

    /// Returns the state as `/state` shows it.
    #[must_use]
    pub fn state(&self) -> EngineState {
        self.shared.commands.lock().state.clone()
    }

    /// Returns the commands that took effect, in order.
    #[must_use]
    pub fn commands(&self) -> Vec<EngineCommand> {
        self.shared.commands.lock().applied.clone()
    }

    /// Returns how many commands took effect although a higher fencing number had been seen.
    #[must_use]
    pub fn stale_commands(&self) -> u64 {
        self.shared.commands.lock().stale_applied
    }
}
