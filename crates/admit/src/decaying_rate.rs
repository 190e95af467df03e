//! Rates of recent events.

use lw_base::prelude::*;

/// The rate of recent events, which decays exponentially with a time constant of `DECAY_MS` milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingRate<const DECAY_MS: u64> {
    per_s: f64,
    at: MonoMs,
}

impl<const DECAY_MS: u64> DecayingRate<DECAY_MS> {
    /// Returns the rate in events per second.
    #[must_use]
    pub fn per_s(&self, now: MonoMs) -> f64 {
        let age_ms = now.since_ms(self.at) as f64;
        self.per_s * (-age_ms / DECAY_MS as f64).exp()
    }

    /// Records an event.
    pub fn record(&mut self, now: MonoMs) {
        self.per_s = self.per_s(now) + 1_000.0 / DECAY_MS as f64;
        self.at = now;
    }
}
