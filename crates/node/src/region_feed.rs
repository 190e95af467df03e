//! Region summaries for the router, and the own region's load for its summary.

use std::sync::Arc;

use lw_base::prelude::*;
use lw_base::stable_hash;
use lw_member::{RegionLoad, ServiceUse};
use lw_route::{RegionSummary, RouteView};

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
            feed_region(&view, region, &summary.load, read_at);
        }
    }

    /// Sets capacity and use of the own region and of its services for its summary.
    pub(crate) fn measure_region(&self) {
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
                service: hash_of(name),
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

fn feed_region(view: &RouteView, region: RegionKey, load: &RegionLoad, read_at: MonoMs) {
    let names = view.fleet().services.iter();
    let keys: FastMap<[u8; 8], ServiceKey> =
        names.map(|(key, name, _)| (hash_of(name), key)).collect();
    for entry in &load.services {
        if let Some(service) = keys.get(&entry.service) {
            let figures = RegionSummary::from_permille(entry.slots, entry.load_permille, read_at);
            view.set_service_summary(region, *service, figures);
        }
    }
    // The services that are not named share the rest.
    let (slots, permille) = load
        .unlisted()
        .unwrap_or((load.capacity_slots, load.load_permille));
    let figures = RegionSummary::from_permille(slots, permille, read_at);
    view.set_summary(region, figures);
}

fn hash_of(service: &str) -> [u8; 8] {
    stable_hash(service.as_bytes()).to_be_bytes()
}

fn permille(requests: f64, slots: f64) -> u16 {
    if slots <= 0.0 {
        return 0;
    }
    // The cast saturates.
    (requests / slots * 1_000.0).round() as u16
}
