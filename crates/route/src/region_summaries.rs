//! The latest summaries of other regions.

use lw_base::prelude::*;
use parking_lot::Mutex;

use crate::region_summary::RegionSummary;

/// The latest summaries under the keys of one view: by region, and by region and service for regions that report
/// services.
#[derive(Debug, Default)]
pub(crate) struct RegionSummaries {
    entries: Mutex<SummaryMaps>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct SummaryMaps {
    pub(crate) by_region: FastMap<RegionKey, RegionSummary>,
    pub(crate) by_service: FastMap<(RegionKey, ServiceKey), RegionSummary>,
}

impl RegionSummaries {
    pub(crate) fn new(entries: SummaryMaps) -> Self {
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

    pub(crate) fn entries(&self) -> SummaryMaps {
        self.entries.lock().clone()
    }

    /// Returns the recent summary of a service in a region, or that of the whole region when there is none for the
    /// service.
    pub(crate) fn fresh(
        &self,
        now: MonoMs,
        region: RegionKey,
        service: ServiceKey,
    ) -> Option<RegionSummary> {
        let entries = self.entries.lock();
        let is_fresh = |summary: &&RegionSummary| summary.is_fresh(now);
        let of_service = entries.by_service.get(&(region, service)).filter(is_fresh);
        // A region that stopped reporting the service separately still reports the whole region.
        let summary = of_service.or_else(|| entries.by_region.get(&region).filter(is_fresh));
        summary.copied()
    }
}
