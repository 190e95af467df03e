//! Summaries of the other regions.

use lw_base::prelude::*;
use parking_lot::Mutex;

use crate::region_summary::RegionSummary;

/// The newest summaries of one snapshot: by region, and by region and service where the region reports services.
#[derive(Debug, Default)]
pub(crate) struct RegionTable {
    entries: Mutex<Entries>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Entries {
    pub(crate) by_region: FastMap<RegionKey, RegionSummary>,
    pub(crate) by_service: FastMap<(RegionKey, ServiceKey), RegionSummary>,
}

impl RegionTable {
    pub(crate) fn new(entries: Entries) -> Self {
        Self {
            entries: Mutex::new(entries),
        }
    }

    pub(crate) fn set(&self, region: RegionKey, summary: RegionSummary) {
        self.entries.lock().by_region.insert(region, summary);
    }

    pub(crate) fn set_service(
        &self,
        region: RegionKey,
        service: ServiceKey,
        summary: RegionSummary,
    ) {
        let mut entries = self.entries.lock();
        entries.by_service.insert((region, service), summary);
    }

    pub(crate) fn entries(&self) -> Entries {
        self.entries.lock().clone()
    }

    /// Returns the recent summary of a service in a region; the one of the whole region when services are not told
    /// apart.
    pub(crate) fn fresh(
        &self,
        now: MonoMs,
        region: RegionKey,
        service: ServiceKey,
    ) -> Option<RegionSummary> {
        let entries = self.entries.lock();
        let is_fresh = |summary: &&RegionSummary| summary.is_fresh(now);
        let of_service = entries.by_service.get(&(region, service)).filter(is_fresh);
        // A region that stopped to tell the service apart still reports the rest.
        let summary = of_service.or_else(|| entries.by_region.get(&region).filter(is_fresh));
        summary.copied()
    }
}
