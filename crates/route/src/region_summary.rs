//! Capacity and load summaries of other regions.

use lw_base::prelude::*;

/// The use ratio above which a region receives no spilled requests.
pub(crate) const MAX_SPILL_USE: f64 = 0.85;
/// The age at which a summary is ignored. Summaries arrive within 15 s.
const SUMMARY_MAX_AGE_MS: u64 = 30_000;

/// The capacity and load of a region at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegionSummary {
    /// The number of requests that the targets of the region can process concurrently.
    pub capacity_slots: f64,
    /// The number of requests in the region, running and waiting.
    pub load_slots: f64,
    /// When the region measured these values, on the clock of this host: the time of receipt minus the age stated in
    /// the summary. The spill controller uses it to determine which spilled requests the values include.
    pub read_at: MonoMs,
}

impl RegionSummary {
    /// Creates a summary from the values that regions exchange: the slots, and the load in thousandths of the slots.
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

    /// Returns how many more requests the region can accept before it no longer receives spilled requests.
    #[must_use]
    pub fn headroom_slots(&self) -> f64 {
        (self.capacity_slots * MAX_SPILL_USE - self.load_slots).max(0.0)
    }

    /// Returns true when the summary is recent enough to be used.
    #[must_use]
    pub fn is_fresh(&self, now: MonoMs) -> bool {
        now.since_ms(self.read_at) <= SUMMARY_MAX_AGE_MS
    }
}
