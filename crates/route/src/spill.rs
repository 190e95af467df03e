//! The share of requests that spill into other regions.

use lw_base::prelude::*;

use crate::region_summary::SHORT_USE;

/// The local wait must exceed the remote sum by this ratio before spilling starts.
const START_RATIO: f64 = 1.2;
/// The share changes at most this fast.
const RISE_PER_S: f64 = 0.10;
const FALL_PER_S: f64 = 0.02;
/// The share is adjusted this often.
const PERIOD_MS: u64 = 250;
/// A longer gap between decisions counts as this much for a rise.
const LONGEST_RISE_MS: u64 = 1_000;
/// The highest share; the rest keeps the local caches warm and the local estimate alive.
const HIGHEST_SHARE: f64 = 0.9;

/// What the controller looks at.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpillInput {
    /// The expected wait in the own region, in milliseconds.
    pub local_wait_ms: f64,
    /// Remote wait + wide-area delay + cold-cache cost of the best region; `None` when no region takes requests.
    pub remote_sum_ms: Option<f64>,
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
#[derive(Clone, Copy, Debug, Default)]
pub struct SpillControl {
    active: bool,
    share: f64,
    updated: Option<MonoMs>,
}

impl SpillControl {
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

    /// Adjusts the share.
    pub fn update(&mut self, now: MonoMs, input: &SpillInput) {
        let span_ms = self.updated.map_or(0, |updated| now.since_ms(updated));
        self.updated = Some(now);
        let Some(remote_sum_ms) = input.remote_sum_ms else {
            // Nothing may be sent into a region that is short of capacity, so the share drops at once.
            self.active = false;
            self.share = 0.0;
            return;
        };
        self.active = match self.active {
            false => input.local_wait_ms > remote_sum_ms * START_RATIO,
            true => input.local_wait_ms >= remote_sum_ms,
        };
        let wanted = if self.active { self.excess(input) } else { 0.0 };
        let rise_s = span_ms.min(LONGEST_RISE_MS) as f64 / 1_000.0;
        let fall_s = span_ms as f64 / 1_000.0;
        self.share = wanted.clamp(
            (self.share - FALL_PER_S * fall_s).max(0.0),
            self.share + RISE_PER_S * rise_s,
        );
    }

    /// Returns the share that exceeds the own capacity, within the free capacity of the others.
    fn excess(&self, input: &SpillInput) -> f64 {
        let offered = input.local_use / (1.0 - self.share);
        if offered <= 0.0 {
            return 0.0;
        }
        let excess = 1.0 - SHORT_USE / offered;
        let room = input.remote_headroom / offered;
        excess.min(room).clamp(0.0, HIGHEST_SHARE)
    }
}
