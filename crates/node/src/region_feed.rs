//! Region summaries for the router, and the own region's load for its summary.

use std::sync::Arc;

use lw_base::prelude::*;
use lw_route::RegionSummary;

use crate::core::Core;

/// When each region read the figures of its newest summary.
#[derive(Debug, Default)]
pub(crate) struct RegionFeed {
    seen: FastMap<Arc<str>, (u64, MonoMs)>,
}

impl RegionFeed {
    /// Returns when the figures of the summary were read, on the clock of this host.
    ///
    /// A version is the wall clock of its relay. The age is taken when the summary arrives, so that a later jump of the
    /// own wall clock does not change it.
    fn read_at(&mut self, region: &Arc<str>, version: u64, now: MonoMs, wall: WallMs) -> MonoMs {
        let read_at = MonoMs(now.0.saturating_sub(wall.since_ms(WallMs(version))));
        let seen = self
            .seen
            .entry(region.clone())
            .or_insert((version, read_at));
        if seen.0 != version {
            *seen = (version, read_at);
        }
        seen.1
    }
}

impl Core {
    /// Passes the summaries of other regions to the router.
    pub(crate) fn feed_regions(&self, now: MonoMs, wall: WallMs) {
        let known: Vec<_> = self.members.lock().region_summaries().cloned().collect();
        let view = self.router.view();
        let mut feed = self.regions.lock();
        for summary in known {
            let read_at = feed.read_at(&summary.region, summary.version, now, wall);
            let Some(region) = view.fleet().regions.key(&summary.region) else {
                continue;
            };
            if view.local_region() == Some(region) {
                continue;
            }
            let figures = RegionSummary::from_permille(
                summary.capacity_slots,
                summary.load_permille,
                read_at,
            );
            view.set_summary(region, figures);
        }
    }

    /// Sets capacity and use of the own region for its summary.
    pub(crate) fn measure_region(&self) {
        let view = self.router.view();
        let loads = view.fleet().services.keys();
        let (slots, requests) = loads
            .map(|service| view.service_load(service))
            .fold((0.0, 0.0), |sum, load| {
                (sum.0 + load.slots, sum.1 + load.requests.max(0.0))
            });
        let permille = if slots > 0.0 {
            (requests / slots * 1_000.0).min(f64::from(u16::MAX))
        } else {
            0.0
        };
        let mut members = self.members.lock();
        members.set_load(slots.round() as u32, permille.round() as u16);
    }
}
