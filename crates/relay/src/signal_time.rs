//! When a signal arrived that the process may have noticed late.

use lw_base::prelude::*;

/// A loop that is late by less than this, in milliseconds, was not suspended or starved.
const LATENESS_MS: u64 = 50;
/// How long after a pause a signal is noticed that arrived in it, in milliseconds.
const NOTICE_MS: u64 = 100;
/// The longest time, in milliseconds, by which a signal counts as noticed late: after a longer pause, it rather arrived at
/// its end than at its beginning.
const MAX_DELAY_MS: u64 = 1_000;

/// When the loop that handles signals has run.
#[derive(Clone, Copy, Debug)]
pub struct LoopTimes {
    interval_ms: u64,
    ran_at: MonoMs,
    /// The beginning and the end of the last pause in which the loop should have run.
    pause: Option<(MonoMs, MonoMs)>,
}

impl LoopTimes {
    /// Creates the times of a loop that runs at least once in `interval_ms` milliseconds.
    #[must_use]
    pub fn new(now: MonoMs, interval_ms: u64) -> Self {
        Self {
            interval_ms,
            ran_at: now,
            pause: None,
        }
    }

    /// Records that the loop runs.
    pub fn record_run(&mut self, now: MonoMs) {
        if now.since_ms(self.ran_at) > self.interval_ms + LATENESS_MS {
            self.pause = Some((self.ran_at, now));
        }
        self.ran_at = now;
    }

    /// Returns the earliest time at which a signal can have arrived that is noticed `now`, at most a second ago.
    ///
    /// Load: a host with a small share of a processor, or a suspended one. The platform ends a process by the time at which
    /// it sent the signal.
    #[must_use]
    pub fn signal_time(&self, now: MonoMs) -> MonoMs {
        match self.pause {
            Some((began_at, ended_at)) if now.since_ms(ended_at) <= NOTICE_MS => {
                let delay_ms = now.since_ms(began_at).min(MAX_DELAY_MS);
                MonoMs(now.0.saturating_sub(delay_ms))
            }
            _ => now,
        }
    }
}
