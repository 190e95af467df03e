//! The spill controller: the share of requests that are sent to other regions.

use lw_base::prelude::*;

use crate::region_summary::MAX_SPILL_USE;
use crate::share_history::ShareHistory;

/// Spilling starts when the local wait exceeds the remote cost by this ratio.
const START_RATIO: f64 = 1.2;
/// The maximum increase and decrease of the share per second.
const MAX_RISE_PER_S: f64 = 0.10;
const MAX_FALL_PER_S: f64 = 0.02;
/// The interval between updates of the share.
const UPDATE_INTERVAL_MS: u64 = 250;
/// For an increase of the share, a longer time between two updates counts as this long.
const MAX_RISE_SPAN_MS: u64 = 1_000;
/// The fraction of the free remote capacity that a summary adds to the cap. Below 1, the share approaches the limit
/// from below.
const HEADROOM_FRACTION: f64 = 0.95;
/// The maximum share. The remaining requests keep the local caches warm and the local estimate current.
const MAX_SHARE: f64 = 0.9;

/// The inputs of the spill controller.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpillInput {
    /// The expected wait in the local region, in milliseconds.
    pub local_wait_ms: f64,
    /// Expected wait + wide-area delay + cold-cache cost of the best region, in milliseconds; `None` when no region is
    /// eligible.
    pub remote_cost_ms: Option<f64>,
    /// When the newest summary of the eligible regions was measured.
    pub summary_at: MonoMs,
    /// The number of requests in the local region, including waiting ones, relative to its capacity.
    pub local_use: f64,
    /// The free capacity of the eligible regions relative to the local capacity.
    pub remote_headroom: f64,
}

/// Moves the spill share towards the excess load of the local region, with hysteresis.
///
/// The set point is the excess over the local capacity. A controller that spilled everything while the local region is
/// slow would empty the region and oscillate. The share falls five times slower than it rises, so that the local caches
/// warm up gradually when traffic returns.
///
/// Summaries lag by seconds. Each new summary therefore sets a cap once: the share at the time of its measurement,
/// whose requests are included in its load, plus its free capacity. Without the cap, the share keeps rising on the same
/// free capacity until the next summary shows a full region, and oscillates.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpillController {
    /// True from when the local wait exceeds the remote cost by [`START_RATIO`] until it falls below that cost.
    active: bool,
    share: f64,
    /// The maximum share according to the latest summary.
    cap: f64,
    history: ShareHistory,
    /// When the summary that set the cap was measured.
    summary_at: Option<MonoMs>,
    highest_wait_ms: f64,
    updated_at: Option<MonoMs>,
}

impl SpillController {
    /// Returns the share of requests to send to other regions, between 0 and 1.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns true when the next update is due.
    #[must_use]
    pub fn is_due(&self, now: MonoMs) -> bool {
        self.updated_at
            .is_none_or(|updated_at| now.since_ms(updated_at) >= UPDATE_INTERVAL_MS)
    }

    /// Records the expected wait of a request in milliseconds; the highest wait since the last update counts.
    ///
    /// Waits differ between priority classes, so the wait of a single request would switch the controller on and off.
    pub fn observe(&mut self, local_wait_ms: f64) {
        self.highest_wait_ms = self.highest_wait_ms.max(local_wait_ms);
    }

    /// Returns the highest wait since the last call in milliseconds, and resets it.
    pub fn take_highest_wait_ms(&mut self) -> f64 {
        std::mem::take(&mut self.highest_wait_ms)
    }

    /// Updates the share.
    ///
    /// The caller never sends requests to a region that is not eligible, whatever the share. While no region is
    /// eligible, the share falls at its usual rate: summaries of small regions cross the limit by chance, and a share
    /// that restarts at zero each time never reaches the excess.
    pub fn update(&mut self, now: MonoMs, input: &SpillInput) {
        let span_ms = self
            .updated_at
            .map_or(0, |updated_at| now.since_ms(updated_at));
        self.updated_at = Some(now);
        let remote_cost_ms = input.remote_cost_ms.unwrap_or(f64::INFINITY);
        self.active = match self.active {
            false => input.local_wait_ms > remote_cost_ms * START_RATIO,
            true => input.local_wait_ms >= remote_cost_ms,
        };
        let desired = if self.active { self.excess(input) } else { 0.0 };
        let rise_s = span_ms.min(MAX_RISE_SPAN_MS) as f64 / 1_000.0;
        let fall_s = span_ms as f64 / 1_000.0;
        self.share = desired.clamp(
            (self.share - MAX_FALL_PER_S * fall_s).max(0.0),
            self.share + MAX_RISE_PER_S * rise_s,
        );
        // Nothing is sent while no region is eligible.
        let sent = input.remote_cost_ms.map_or(0.0, |_| self.share);
        self.history.push(now, sent);
    }

    /// Returns the share of the load that exceeds the local capacity, bounded by the free capacity of the other
    /// regions.
    fn excess(&mut self, input: &SpillInput) -> f64 {
        let offered = input.local_use / (1.0 - self.share);
        if offered <= 0.0 {
            return 0.0;
        }
        if self.summary_at != Some(input.summary_at) {
            let included_share = self.history.lowest_before(input.summary_at);
            self.cap = included_share + HEADROOM_FRACTION * input.remote_headroom / offered;
            if included_share == 0.0 {
                // No requests were spilled when the summary was measured, so it does not contradict the current share.
                self.cap = self.cap.max(self.share);
            }
            self.summary_at = Some(input.summary_at);
        }
        let excess = 1.0 - MAX_SPILL_USE / offered;
        excess.min(self.cap).clamp(0.0, MAX_SHARE)
    }
}
