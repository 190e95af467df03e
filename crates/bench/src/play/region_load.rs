//! Load summaries that regions exchange.

use lw_base::prelude::*;
use lw_doc::Fleet;
use lw_route::RegionSummary;

use crate::play::engine::Engine;
use crate::play::host::Host;

/// Returns the load summary of each service in each region.
pub(crate) fn collect_summaries(
    now: MonoMs,
    fleet: &Fleet,
    engines: &[Engine],
    hosts: &[Host],
) -> Vec<(RegionKey, ServiceKey, RegionSummary)> {
    let mut summaries = Vec::new();
    for region in fleet.regions.keys() {
        for (service, _, entry) in fleet.services.iter() {
            let targets = &entry.targets_by_region[region.index()];
            let engines = targets.iter().map(|key| &engines[key.index()]);
            let waiting: usize = hosts
                .iter()
                .filter(|host| host.region == region)
                .map(|host| host.services[service.index()].queue.waiting())
                .sum();
            let accepted: u32 = engines.clone().map(Engine::requests).sum();
            let slots: u32 = engines.map(Engine::live_slots).sum();
            let summary = RegionSummary {
                capacity_slots: f64::from(slots),
                load_slots: f64::from(accepted) + waiting as f64,
                read_at: now,
            };
            summaries.push((region, service, summary));
        }
    }
    summaries
}
