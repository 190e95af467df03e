//! Warnings about frames of unknown peer keys.

use lw_base::prelude::*;

/// One warning in this time at most, because anyone who reaches the listener can send such frames.
const WARNING_PERIOD_MS: u64 = 60_000;

/// Tells when frames of unknown keys are to be reported.
#[derive(Debug, Default)]
pub struct UnknownKeyReporter {
    reported: u64,
    reported_at: Option<MonoMs>,
}

impl UnknownKeyReporter {
    /// Takes the count of refused frames since the start; returns how many to report now.
    pub fn observe(&mut self, now: MonoMs, refused: u64) -> Option<u64> {
        let due = self
            .reported_at
            .is_none_or(|at| now.since_ms(at) >= WARNING_PERIOD_MS);
        if !due || refused <= self.reported {
            return None;
        }
        let new = refused - self.reported;
        self.reported = refused;
        self.reported_at = Some(now);
        Some(new)
    }
}
