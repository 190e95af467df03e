//! The spilled share of the last half minute.

use lw_base::prelude::*;

/// Seconds that are kept; summaries are younger than 30 s.
const KEPT_S: usize = 32;
/// Requests need a few seconds until they show in the load of the region that they spill into.
const SETTLE_S: u64 = 3;

/// The share by second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ShareHistory {
    shares: [f32; KEPT_S],
    newest_s: u64,
}

impl ShareHistory {
    /// Notes the share of the current second, and of the seconds since the last call.
    pub(crate) fn push(&mut self, now: MonoMs, share: f64) {
        let second = now.0 / 1_000;
        let first = self.newest_s.max(second.saturating_sub(KEPT_S as u64 - 1));
        for index in first..=second {
            self.shares[index as usize % KEPT_S] = share as f32;
        }
        self.newest_s = self.newest_s.max(second);
    }

    /// Returns the lowest share in the seconds before `at`; zero when that is too long ago.
    pub(crate) fn lowest_before(&self, at: MonoMs) -> f64 {
        let last = (at.0 / 1_000).min(self.newest_s);
        if last + (KEPT_S as u64) <= self.newest_s + SETTLE_S {
            return 0.0;
        }
        (last.saturating_sub(SETTLE_S)..=last)
            .map(|second| f64::from(self.shares[second as usize % KEPT_S]))
            .fold(f64::INFINITY, f64::min)
    }
}
