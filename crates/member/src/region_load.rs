//! The load of a region in its summary.

use serde::{Deserialize, Serialize};

/// The maximum number of services that a summary lists; the bytes that a relay sends and receives grow with it.
pub const MAX_SUMMARY_SERVICES: usize = 8;

/// The capacity and the load of one service in a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUse {
    /// The stable hash of the service's name; an index would depend on the configuration revision.
    pub service: [u8; 8],
    /// The sum of the slots of its targets.
    pub slots: u32,
    /// The load of the slots, in thousandths of their number.
    pub load_permille: u16,
}

/// The capacity and the load of a region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionLoad {
    /// The sum of the target slots.
    pub capacity_slots: u32,
    /// The load, in thousandths of the capacity.
    pub load_permille: u16,
    /// The services with targets in the region; when there are more than [`MAX_SUMMARY_SERVICES`], those with the
    /// highest load.
    pub services: Vec<ServiceUse>,
}

impl RegionLoad {
    /// Keeps the [`MAX_SUMMARY_SERVICES`] services with the highest load, in an order that does not depend on the load.
    #[must_use]
    pub fn bounded(mut self) -> Self {
        let by_load = |entry: &ServiceUse| (std::cmp::Reverse(entry.load_permille), entry.service);
        self.services.sort_unstable_by_key(by_load);
        self.services.truncate(MAX_SUMMARY_SERVICES);
        self.services.sort_unstable_by_key(|entry| entry.service);
        self
    }

    /// Returns the slots of the services that are not listed, and the load of these slots in thousandths; `None` when
    /// all services are listed.
    #[must_use]
    pub fn unlisted(&self) -> Option<(u32, u16)> {
        let load_of = |slots: u32, permille: u16| u64::from(slots) * u64::from(permille);
        let listed_slots: u32 = self.services.iter().map(|entry| entry.slots).sum();
        let listed_load = self.services.iter();
        let listed_load: u64 = listed_load
            .map(|entry| load_of(entry.slots, entry.load_permille))
            .sum();
        let slots = self
            .capacity_slots
            .checked_sub(listed_slots)
            .filter(|slots| *slots > 0)?;
        let unlisted_load =
            load_of(self.capacity_slots, self.load_permille).saturating_sub(listed_load);
        let permille = unlisted_load / u64::from(slots);
        Some((slots, u16::try_from(permille).unwrap_or(u16::MAX)))
    }
}
