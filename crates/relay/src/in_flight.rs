//! Tracks the load of one attempt on its target.

use std::cell::RefCell;
use std::rc::Rc;

use lw_base::prelude::*;

use crate::clock::HostClock;
use crate::target_health::AttemptEnd;
use crate::target_load::TargetLoad;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Sent,
    /// The head of its answer has arrived.
    Head,
    Ended,
}

/// Counts a request towards the load of its target until it is dropped.
pub(crate) struct InFlight {
    load: Rc<RefCell<TargetLoad>>,
    clock: HostClock,
    capacity_changed: Rc<tokio::sync::Notify>,
    tokens: u64,
    prefill_ms: f64,
    progress: Progress,
}

impl InFlight {
    /// Adds the request to the load of the target.
    pub(crate) fn begin(
        load: &Rc<RefCell<TargetLoad>>,
        clock: HostClock,
        capacity_changed: Rc<tokio::sync::Notify>,
        tokens: u64,
        prefill_ms: f64,
    ) -> Self {
        let now = clock.now();
        let mut state = load.borrow_mut();
        state.running += 1;
        state.tokens += tokens;
        state.add_backlog(now, prefill_ms);
        state.health.record_sent(now);
        drop(state);
        Self {
            load: load.clone(),
            clock,
            capacity_changed,
            tokens,
            prefill_ms,
            progress: Progress::Sent,
        }
    }

    /// Records that the head of an answer to the attempt has arrived.
    pub(crate) fn record_head(&mut self) {
        if self.progress == Progress::Sent {
            self.progress = Progress::Head;
            let mut load = self.load.borrow_mut();
            load.health.record_head(self.clock.now());
        }
    }

    /// Records the result of the attempt, as soon as it is known. Of later calls, only those for a stream that breaks off have
    /// an effect.
    pub(crate) fn record_end(&mut self, end: AttemptEnd) {
        let now = self.clock.now();
        let mut load = self.load.borrow_mut();
        match std::mem::replace(&mut self.progress, Progress::Ended) {
            Progress::Sent => load.health.record_end(now, end),
            Progress::Head => load.health.record_answer_end(now, end),
            Progress::Ended if end == AttemptEnd::BrokenOff => {
                load.health.record_broken_stream(now);
            }
            Progress::Ended => return,
        }
        if matches!(end, AttemptEnd::Unreachable | AttemptEnd::Broken) {
            load.warmth.record_broken(now);
        }
        if matches!(
            end,
            AttemptEnd::Failed
                | AttemptEnd::Expired
                | AttemptEnd::Unreachable
                | AttemptEnd::Broken
                | AttemptEnd::Replaced
        ) {
            // The target did not do the prefill.
            let without_prefill = load
                .prefill_done_at
                .0
                .saturating_sub(self.prefill_ms as u64);
            load.prefill_done_at = MonoMs(without_prefill);
        }
    }

    /// Returns the load of the target.
    pub(crate) fn load(&self) -> &RefCell<TargetLoad> {
        &self.load
    }

    /// Records that the target sent bytes.
    pub(crate) fn record_received(&self) {
        self.load
            .borrow_mut()
            .health
            .record_received(self.clock.now());
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.record_end(AttemptEnd::Neutral);
        let mut load = self.load.borrow_mut();
        load.running = load.running.saturating_sub(1);
        load.tokens = load.tokens.saturating_sub(self.tokens);
        drop(load);
        self.capacity_changed.notify_waiters();
    }
}
