//! The recent history of the spill share.

use lw_base::prelude::*;

/// The number of seconds kept. Summaries in use are at most 30 s old.
const HISTORY_S: usize = 32;
/// The time until spilled requests appear in the load of the other region.
const SETTLE_S: u64 = 3;

/// The spill share of each recent second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ShareHistory {
    shares: [f32; HISTORY_S],
    newest_s: u64,
}

impl ShareHistory {
    /// Records the share for the current second and for the seconds since the last call.
    pub(crate) fn push(&mut self, now: MonoMs, share: f64) {
        let second = now.0 / 1_000;
        let first = self
            .newest_s
            .max(second.saturating_sub(HISTORY_S as u64 - 1));
        for index in first..=second {
            self.shares[index as usize % HISTORY_S] = share as f32;
        }
        self.newest_s = self.newest_s.max(second);
    }

    /// Returns the lowest share from [`SETTLE_S`] seconds before `at` until `at`, or zero when that time is no longer
    /// in the history.
    pub(crate) fn lowest_before(&self, at: MonoMs) -> f64 {
        let last = (at.0 / 1_000).min(self.newest_s);
        if last + (HISTORY_S as u64) <= self.newest_s + SETTLE_S {
            return 0.0;
        }
        (last.saturating_sub(SETTLE_S)..=last)
            .map(|second| f64::from(self.shares[second as usize % HISTORY_S]))
            .fold(f64::INFINITY, f64::min)
    }
}
