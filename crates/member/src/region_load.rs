//! The load of a region in its summary.

use serde::{Deserialize, Serialize};

/// The most services that a summary lists; the bytes that a relay sends and receives grow with it.
pub const MAX_SUMMARY_SERVICES: usize = 8;

/// The capacity and the use of one service in a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUse {
    /// The stable hash of the service's name; an index would depend on the configuration revision.
    pub service: [u8; 8],
    /// The sum of the slots of its targets.
    pub slots: u32,
    /// The use of the slots in thousandths.
    pub load_permille: u16,
}

/// The capacity and the use of a region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionLoad {
    /// The sum of the target slots.
    pub capacity_slots: u32,
    /// The use of the capacity in thousandths.
    pub load_permille: u16,
    /// The services with targets in the region; when there are more than [`MAX_SUMMARY_SERVICES`], the most used ones.
    pub services: Vec<ServiceUse>,
}

impl RegionLoad {
    /// Returns the load with at most [`MAX_SUMMARY_SERVICES`] services, the most used ones, in an order that does not
    /// depend on their use.
    #[must_use]
    pub fn bounded(mut self) -> Self {
        let by_use = |entry: &ServiceUse| (std::cmp::Reverse(entry.load_permille), entry.service);
        self.services.sort_unstable_by_key(by_use);
        self.services.truncate(MAX_SUMMARY_SERVICES);
        self.services.sort_unstable_by_key(|entry| entry.service);
        self
    }

    /// Returns the slots and their use in thousandths of the services that are not listed; `None` when all are listed.
    #[must_use]
    pub fn unlisted(&self) -> Option<(u32, u16)> {
        let used = |slots: u32, permille: u16| u64::from(slots) * u64::from(permille);
        let listed_slots: u32 = self.services.iter().map(|entry| entry.slots).sum();
        let listed_use = self.services.iter();
        let listed_use: u64 = listed_use
            .map(|entry| used(entry.slots, entry.load_permille))
            .sum();
        let slots = self
            .capacity_slots
            .checked_sub(listed_slots)
            .filter(|slots| *slots > 0)?;
        let rest = used(self.capacity_slots, self.load_permille).saturating_sub(listed_use);
        let permille = rest / u64::from(slots);
        Some((slots, u16::try_from(permille).unwrap_or(u16::MAX)))
    }
}
