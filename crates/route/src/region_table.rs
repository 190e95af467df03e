//! Summaries of the other regions.

use lw_base::prelude::*;
use parking_lot::Mutex;

use crate::region_summary::RegionSummary;

/// The newest summary by region of one snapshot.
#[derive(Debug, Default)]
pub(crate) struct RegionTable {
    summaries: Mutex<Vec<Option<RegionSummary>>>,
}

impl RegionTable {
    pub(crate) fn new(summaries: Vec<Option<RegionSummary>>) -> Self {
        Self {
            summaries: Mutex::new(summaries),
        }
    }

    pub(crate) fn set(&self, region: RegionKey, summary: RegionSummary) {
        if let Some(slot) = self.summaries.lock().get_mut(region.index()) {
            *slot = Some(summary);
        }
    }

    pub(crate) fn get(&self, region: RegionKey) -> Option<RegionSummary> {
        self.summaries.lock().get(region.index()).copied().flatten()
    }

    /// Returns the summary of `region` when it is recent.
    pub(crate) fn fresh(&self, now: MonoMs, region: RegionKey) -> Option<RegionSummary> {
        self.get(region).filter(|summary| summary.is_fresh(now))
    }
}
