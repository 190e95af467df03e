//! Passes the load summaries of other regions to the router, and measures the load of this host's region for its
//! summary.

use std::sync::Arc;

use lw_base::prelude::*;
use lw_base::stable_hash;
use lw_member::{RegionLoad, ServiceUse};
use lw_route::{RegionSummary, RouteView};

use crate::core::Core;

/// When the load figures in the newest summary of each region were measured.
#[derive(Debug, Default)]
pub(crate) struct SummaryMeasureTimes {
    /// The version of the newest summary of each region, and when its figures were measured.
    by_region: FastMap<Arc<str>, (u64, MonoMs)>,
}

impl SummaryMeasureTimes {
    /// Returns when the figures of the summary were measured, on the monotonic clock of this host.
    ///
    /// The version of a summary is the wall-clock time of the relay that sent it. The age is computed when the summary
    /// arrives, so that a later jump of the local wall clock does not change it.
    fn measured_at(
        &mut self,
        region: &Arc<str>,
        version: u64,
        now: MonoMs,
        wall: WallMs,
    ) -> MonoMs {
        let measured_at = MonoMs(now.0.saturating_sub(wall.since_ms(WallMs(version))));
        let latest = self
            .by_region
            .entry(region.clone())
            .or_insert((version, measured_at));
        if latest.0 != version {
            *latest = (version, measured_at);
        }
        latest.1
    }
}

impl Core {
    /// Passes the load summaries of other regions to the router.
    pub(crate) fn update_region_summaries(&self, now: MonoMs, wall: WallMs) {
        let summaries: Vec<_> = self.members.lock().region_summaries().cloned().collect();
        let view = self.router.view();
        let mut measure_times = self.summary_measure_times.lock();
        for summary in summaries {
            let measured_at =
                measure_times.measured_at(&summary.region, summary.version, now, wall);
            let Some(region) = view.fleet().regions.key(&summary.region) else {
                continue;
            };
            if view.local_region() == Some(region) {
                continue;
            }
            update_region_summary(&view, region, &summary.load, measured_at);
        }
    }

    /// Measures capacity and load of the region of this host and of its services, and sets them in its summary.
    pub(crate) fn measure_region_load(&self) {
        let view = self.router.view();
        let (mut slots, mut requests) = (0.0, 0.0);
        let mut services = Vec::new();
        for (service, name, _) in view.fleet().services.iter() {
            let load = view.service_load(service);
            if load.slots <= 0.0 {
                continue;
            }
            let busy = load.requests.max(0.0);
            slots += load.slots;
            requests += busy;
            services.push(ServiceUse {
                service: service_hash(name),
                slots: load.slots.round() as u32,
                load_permille: permille(busy, load.slots),
            });
        }
        let load = RegionLoad {
            capacity_slots: slots.round() as u32,
            load_permille: permille(requests, slots),
            services,
        };
        self.members.lock().set_load(load);
    }
}

fn update_region_summary(
    view: &RouteView,
    region: RegionKey,
    load: &RegionLoad,
    measured_at: MonoMs,
) {
    let services = view.fleet().services.iter();
    let keys: FastMap<[u8; 8], ServiceKey> = services
        .map(|(key, name, _)| (service_hash(name), key))
        .collect();
    for entry in &load.services {
        if let Some(service) = keys.get(&entry.service) {
            let summary =
                RegionSummary::from_permille(entry.slots, entry.load_permille, measured_at);
            view.set_service_summary(region, *service, summary);
        }
    }
    // The remaining capacity and load belong to the services that the summary does not name.
    let (slots, permille) = load
        .unlisted()
        .unwrap_or((load.capacity_slots, load.load_permille));
    let summary = RegionSummary::from_permille(slots, permille, measured_at);
    view.set_summary(region, summary);
}

fn service_hash(service: &str) -> [u8; 8] {
    stable_hash(service.as_bytes()).to_be_bytes()
}

fn permille(requests: f64, slots: f64) -> u16 {
    if slots <= 0.0 {
        return 0;
    }
    // The cast saturates.
    (requests / slots * 1_000.0).round() as u16
}
