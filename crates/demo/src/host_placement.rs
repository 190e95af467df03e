//! The hosts that the demonstration runs.

use lw_doc::Document;

/// Number of hosts in each region.
const HOSTS_PER_REGION: usize = 4;

/// A host with its region and availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HostPlacement {
    pub(crate) host: String,
    pub(crate) region: String,
    pub(crate) zone: String,
}

/// Returns the hosts of all regions, assigned to the availability zones of a region in round-robin order.
pub(crate) fn place_hosts(document: &Document) -> Vec<HostPlacement> {
    let mut placements = Vec::new();
    for (region, entry) in &document.regions {
        let zones = entry.zones.iter().cycle().take(HOSTS_PER_REGION);
        placements.extend(zones.enumerate().map(|(index, zone)| HostPlacement {
            host: format!("{region}-{}", index + 1),
            region: region.clone(),
            zone: zone.clone(),
        }));
    }
    placements
}
