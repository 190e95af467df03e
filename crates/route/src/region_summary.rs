//! What is known about another region.

use lw_base::prelude::*;

/// A region whose use is above this ratio is short of capacity and receives no spilled requests.
pub(crate) const SHORT_USE: f64 = 0.85;
/// A summary that is older than this says nothing; summaries arrive within 15 s.
const SUMMARY_AGE_MS: u64 = 30_000;

/// The capacity and load of a region at one point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegionSummary {
    /// Parallel requests that the region's targets can process.
    pub capacity_slots: f64,
    /// Requests in the region, running and waiting.
    pub load_slots: f64,
    /// When the region read its figures, on the clock of this host: the time of receipt less the age that the summary
    /// carries. Spilling needs it to know which of its own requests the figures contain.
    pub read_at: MonoMs,
}

impl RegionSummary {
    /// Builds the summary from the figures that regions exchange: slots, and the load in thousandths of them.
    #[must_use]
    pub fn from_permille(capacity_slots: u32, load_permille: u16, read_at: MonoMs) -> Self {
        let capacity_slots = f64::from(capacity_slots);
        Self {
            capacity_slots,
            load_slots: capacity_slots * f64::from(load_permille) / 1_000.0,
            read_at,
        }
    }

    /// Returns the load relative to the capacity.
    #[must_use]
    pub fn use_ratio(&self) -> f64 {
        if self.capacity_slots <= 0.0 {
            return f64::INFINITY;
        }
        self.load_slots / self.capacity_slots
    }

    /// Returns how many more requests the region can take before it is short of capacity.
    #[must_use]
    pub fn headroom_slots(&self) -> f64 {
        (self.capacity_slots * SHORT_USE - self.load_slots).max(0.0)
    }

    /// Returns true when the summary is recent enough to decide on.
    #[must_use]
    pub fn is_fresh(&self, now: MonoMs) -> bool {
        now.since_ms(self.read_at) <= SUMMARY_AGE_MS
    }
}
