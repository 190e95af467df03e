//! Which hosts the demonstration runs.

use lw_doc::Document;

/// Hosts in each region.
const HOSTS_PER_REGION: usize = 4;

/// A host and its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HostPlan {
    pub(crate) host: String,
    pub(crate) region: String,
    pub(crate) zone: String,
}

/// Returns the hosts of all regions; the availability zones of a region take turns.
pub(crate) fn plan_hosts(document: &Document) -> Vec<HostPlan> {
    let mut plans = Vec::new();
    for (region, entry) in &document.regions {
        let zones = entry.zones.iter().cycle().take(HOSTS_PER_REGION);
        plans.extend(zones.enumerate().map(|(index, zone)| HostPlan {
            host: format!("{region}-{}", index + 1),
            region: region.clone(),
            zone: zone.clone(),
        }));
    }
    plans
}
