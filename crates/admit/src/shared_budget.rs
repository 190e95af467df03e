//! A retry budget that all hosts share without a common counter.

use lw_base::prelude::*;

use crate::slot_counts::SlotCounts;

const SLOT_MS: u64 = 500;
/// Slots of the longest window that is counted: 30 s.
const SLOTS: usize = 60;
/// The part of the common limit that hosts give out. Hosts see different windows, and the limit counts every span.
const USED_PART: f64 = 0.7;

/// This host's part of the limit of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetPolicy {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats that are always allowed in a window, over all hosts.
    pub extra: f64,
    /// The window, in milliseconds.
    pub window_ms: u64,
    /// The hosts that share `extra`.
    pub sharers: usize,
}

/// Counts the requests and repeats of one service on this host.
///
/// The ratio applies to this host's own requests, and the fixed part is divided by the number of hosts. The sum over
/// all hosts then stays below the limit, whatever the others do.
#[derive(Clone, Debug, Default)]
pub struct WindowedRetryBudget {
    counts: SlotCounts<SLOTS, SLOT_MS>,
}

impl WindowedRetryBudget {
    /// Notes the first send of a request.
    pub fn request(&mut self, now: MonoMs) {
        self.counts.advance(now);
        self.counts.note_request();
    }

    /// Takes a repeat out of this host's share; returns false when it is used up.
    pub fn try_retry(&mut self, now: MonoMs, share: RetryBudgetPolicy) -> bool {
        self.counts.advance(now);
        let slots = (share.window_ms / SLOT_MS + 1).clamp(1, SLOTS as u64) as usize;
        let (requests, repeats) = self.counts.sums(slots);
        let own = share.ratio * requests + share.extra / share.sharers.max(1) as f64;
        if repeats + 1.0 > own * USED_PART {
            return false;
        }
        self.counts.note_repeat();
        true
    }
}
