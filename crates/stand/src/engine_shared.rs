//! State shared by the modules of the fake engine.

use std::time::{Duration, Instant};

use lw_base::FastMap;
use lw_plat::{EngineLoad, EngineState};
use parking_lot::Mutex;
use tokio::sync::{oneshot, watch};

use crate::engine_commands::CommandLog;
use crate::engine_load::{LoadHistory, wall_ms};
use crate::engine_options::EngineOptions;
use crate::fake_plain_service::consume_one;
use crate::prefix_cache::PrefixCache;
use crate::slot_queue::SlotQueue;

/// Counters of an engine since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineTotals {
    /// Requests that got a slot.
    pub started: u64,
    /// Requests that ended before their last token: cancelled, aborted by a fault, or abandoned by the client.
    pub cut_short: u64,
    /// Tokens that were prefilled, which includes the tokens before the start of a resumed stream.
    pub prefilled_tokens: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
    /// Tokens that were produced.
    pub decoded_tokens: u64,
    /// Time that slots were in use, summed over all slots, in milliseconds.
    pub slot_ms: f64,
}

/// The faults to inject.
#[derive(Debug)]
pub(crate) struct InjectedFaults {
    pub(crate) slow_factor: f64,
    /// Number of next completions to refuse.
    pub(crate) refusals_left: u32,
    /// Number of next responses that get a wrong attempt id.
    pub(crate) wrong_attempts_left: u32,
    /// Number of next completions to abort after `abort_after_tokens` tokens.
    pub(crate) aborts_left: u32,
    pub(crate) abort_after_tokens: usize,
}

/// A callback that receives the prompt of each accepted completion.
pub(crate) type PromptObserver = Box<dyn Fn(&str) + Send + Sync>;

/// The state of one engine.
pub(crate) struct EngineShared {
    pub(crate) options: EngineOptions,
    pub(crate) slots: SlotQueue,
    pub(crate) cache: Mutex<PrefixCache>,
    pub(crate) commands: Mutex<CommandLog>,
    pub(crate) faults: Mutex<InjectedFaults>,
    pub(crate) observer: Mutex<Option<PromptObserver>>,
    pub(crate) totals: Mutex<EngineTotals>,
    pub(crate) cancels: Mutex<FastMap<String, oneshot::Sender<()>>>,
    pub(crate) paused: watch::Sender<bool>,
    load: Mutex<LoadHistory>,
}

impl EngineShared {
    /// Creates an idle engine.
    pub(crate) fn new(options: EngineOptions) -> Self {
        let state = EngineState {
            model: options.model.clone(),
            version: options.version.clone(),
            ..EngineState::default()
        };
        let commands = CommandLog {
            state,
            ..CommandLog::default()
        };
        Self {
            slots: SlotQueue::new(options.slots),
            cache: Mutex::new(PrefixCache::new(options.cache_tokens)),
            commands: Mutex::new(commands),
            observer: Mutex::new(None),
            faults: Mutex::new(InjectedFaults {
                slow_factor: 1.0,
                refusals_left: 0,
                wrong_attempts_left: 0,
                aborts_left: 0,
                abort_after_tokens: 0,
            }),
            totals: Mutex::default(),
            cancels: Mutex::default(),
            paused: watch::Sender::new(false),
            load: Mutex::default(),
            options,
        }
    }

    /// Waits while the engine is paused.
    pub(crate) async fn wait_while_paused(&self) {
        let mut paused = self.paused.subscribe();
        // The sender is a field of `self`, so the channel cannot be closed.
        let _ = paused.wait_for(|paused| !paused).await;
    }

    /// Returns whether to refuse the current completion, and decrements the number of refusals to inject.
    pub(crate) fn consume_refusal(&self) -> bool {
        consume_one(&mut self.faults.lock().refusals_left)
    }

    /// Returns whether the current response gets a wrong attempt id, and decrements the number of those to inject.
    pub(crate) fn consume_wrong_attempt(&self) -> bool {
        consume_one(&mut self.faults.lock().wrong_attempts_left)
    }

    /// Returns the number of tokens after which to abort the current completion, or `None` to complete it, and
    /// decrements the number of aborts to inject.
    pub(crate) fn consume_abort(&self) -> Option<usize> {
        let mut faults = self.faults.lock();
        consume_one(&mut faults.aborts_left).then_some(faults.abort_after_tokens)
    }

    /// Returns the decode time per token with `running` requests in slots.
    pub(crate) fn token_time(&self, running: usize) -> Duration {
        let share = running as f64 / self.options.slots.max(1) as f64;
        let factor = 1.0 + self.options.batch_slowdown * share;
        self.scaled_ms(self.options.decode_ms * factor)
    }

    /// Returns the time to prefill `tokens` prompt tokens.
    pub(crate) fn prefill_time(&self, tokens: usize) -> Duration {
        self.scaled_ms(tokens as f64 * 1_000.0 / self.options.prefill_tokens_per_s)
    }

    fn scaled_ms(&self, span_ms: f64) -> Duration {
        Duration::from_secs_f64(span_ms * self.faults.lock().slow_factor / 1_000.0)
    }

    /// Records the current load for later reports.
    pub(crate) fn sample_load(&self) {
        let (queued, running) = self.slots.counts();
        let full_step_s = self.token_time(self.options.slots).as_secs_f64();
        let report = EngineLoad {
            queued: queued as u32,
            running: running as u32,
            tokens_per_s: self.options.slots as f64 / full_step_s.max(1e-6),
            at_ms: wall_ms(),
        };
        let lag = Duration::from_millis(self.options.load_lag_ms);
        self.load.lock().record(Instant::now(), report, lag);
    }

    /// Returns the load as of `load_lag_ms` ago.
    pub(crate) fn lagged_load(&self) -> EngineLoad {
        let lag = Duration::from_millis(self.options.load_lag_ms);
        let report = self.load.lock().lagged(Instant::now(), lag);
        report.unwrap_or_default()
    }
}
