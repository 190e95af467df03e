//! Rate limit of warnings about peer frames with an unknown key.

use lw_base::prelude::*;

/// Minimum interval between warnings: anyone who can reach the listener can send such frames and fill the log.
const WARNING_INTERVAL_MS: u64 = 60_000;

/// Decides when to report refused frames.
#[derive(Debug, Default)]
pub struct UnknownKeyReporter {
    reported: u64,
    reported_at: Option<MonoMs>,
}

impl UnknownKeyReporter {
    /// Updates the total of refused frames; returns how many of them to report now, or `None` if no report is due.
    ///
    /// `refused` counts the frames since the start of the process.
    pub fn observe(&mut self, now: MonoMs, refused: u64) -> Option<u64> {
        let due = self
            .reported_at
            .is_none_or(|at| now.since_ms(at) >= WARNING_INTERVAL_MS);
        if !due || refused <= self.reported {
            return None;
        }
        let new = refused - self.reported;
        self.reported = refused;
        self.reported_at = Some(now);
        Some(new)
    }
}
