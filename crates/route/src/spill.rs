//! The share of requests that spill into other regions.

use lw_base::prelude::*;

use crate::region_summary::SHORT_USE;
use crate::share_history::ShareHistory;

/// The local wait must exceed the remote sum by this ratio before spilling starts.
const START_RATIO: f64 = 1.2;
/// The share changes at most this fast.
const RISE_PER_S: f64 = 0.10;
const FALL_PER_S: f64 = 0.02;
/// The share is adjusted this often.
const PERIOD_MS: u64 = 250;
/// A longer gap between decisions counts as this much for a rise.
const LONGEST_RISE_MS: u64 = 1_000;
/// The part of the free capacity that one summary adds to the cap, so that the share approaches the limit from below.
const HEADROOM_GAIN: f64 = 0.95;
/// The highest share; the rest keeps the local caches warm and the local estimate alive.
const HIGHEST_SHARE: f64 = 0.9;

/// What the controller looks at.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpillInput {
    /// The expected wait in the own region, in milliseconds.
    pub local_wait_ms: f64,
    /// Remote wait + wide-area delay + cold-cache cost of the best region; `None` when no region takes requests.
    pub remote_cost_ms: Option<f64>,
    /// When the newest summary of the eligible regions was read there.
    pub summary_at: MonoMs,
    /// Requests in the own region relative to its capacity, waiting ones included.
    pub local_use: f64,
    /// Free capacity of the eligible regions relative to the own capacity.
    pub remote_headroom: f64,
}

/// Moves the share towards the part of the load that the own region cannot carry, with hysteresis.
///
/// The target is the excess, not "everything while it is slow": a controller that aims at everything empties the own
/// region and swings back. The share falls five times slower than it rises, so that traffic that comes back meets
/// caches that warm up gradually.
///
/// Summaries lag by seconds. Each new summary therefore sets a cap once: the share at the time when it was read, whose
/// requests its load contains, plus its free capacity. Without it, the share rises on the same free capacity until the
/// next summary shows a region that is short, and swings.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpillController {
    active: bool,
    share: f64,
    cap: f64,
    history: ShareHistory,
    summary_at: Option<MonoMs>,
    highest_wait_ms: f64,
    updated: Option<MonoMs>,
}

impl SpillController {
    /// Returns the share of requests that leave the region, between 0 and 1.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns true when the share should be adjusted.
    #[must_use]
    pub fn is_due(&self, now: MonoMs) -> bool {
        self.updated
            .is_none_or(|updated| now.since_ms(updated) >= PERIOD_MS)
    }

    /// Notes the expected wait of a request; the highest of a period counts.
    ///
    /// Classes wait differently, so the wait of a single request would switch the controller back and forth.
    pub fn observe(&mut self, local_wait_ms: f64) {
        self.highest_wait_ms = self.highest_wait_ms.max(local_wait_ms);
    }

    /// Returns the highest wait since the last call, in milliseconds.
    pub fn take_highest_wait_ms(&mut self) -> f64 {
        std::mem::take(&mut self.highest_wait_ms)
    }

    /// Adjusts the share.
    ///
    /// The caller sends nothing into a region that is short of capacity, whatever the share. While there is no other
    /// region, the share falls at its usual rate: summaries of small regions cross the limit by chance, and a share
    /// that starts over each time never reaches the excess.
    pub fn update(&mut self, now: MonoMs, input: &SpillInput) {
        let span_ms = self.updated.map_or(0, |updated| now.since_ms(updated));
        self.updated = Some(now);
        let remote_cost_ms = input.remote_cost_ms.unwrap_or(f64::INFINITY);
        self.active = match self.active {
            false => input.local_wait_ms > remote_cost_ms * START_RATIO,
            true => input.local_wait_ms >= remote_cost_ms,
        };
        let wanted = if self.active { self.excess(input) } else { 0.0 };
        let rise_s = span_ms.min(LONGEST_RISE_MS) as f64 / 1_000.0;
        let fall_s = span_ms as f64 / 1_000.0;
        self.share = wanted.clamp(
            (self.share - FALL_PER_S * fall_s).max(0.0),
            self.share + RISE_PER_S * rise_s,
        );
        // Nothing is sent while no region takes requests.
        let sent = input.remote_cost_ms.map_or(0.0, |_| self.share);
        self.history.push(now, sent);
    }

    /// Returns the share that exceeds the own capacity, within the free capacity of the others.
    fn excess(&mut self, input: &SpillInput) -> f64 {
        let offered = input.local_use / (1.0 - self.share);
        if offered <= 0.0 {
            return 0.0;
        }
        if self.summary_at != Some(input.summary_at) {
            let contained = self.history.lowest_before(input.summary_at);
            self.cap = contained + HEADROOM_GAIN * input.remote_headroom / offered;
            if contained == 0.0 {
                // Nothing was sent when it was read, so it says nothing against the present share.
                self.cap = self.cap.max(self.share);
            }
            self.summary_at = Some(input.summary_at);
        }
        let excess = 1.0 - SHORT_USE / offered;
        excess.min(self.cap).clamp(0.0, HIGHEST_SHARE)
    }
}
