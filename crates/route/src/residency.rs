//! The residency rule of a request (I1).

use lw_base::prelude::*;
use lw_doc::Fleet;

use crate::region_set::RegionSet;

/// Returns the regions that may process a request.
///
/// The set is the intersection of the service's rule, the customer's home region and, for a forwarded request, the set
/// that the sender computed from its own revision. A stricter rule on either side therefore wins.
#[must_use]
pub fn allowed_regions(
    fleet: &Fleet,
    service: ServiceKey,
    customer: Option<CustomerKey>,
    sender: Option<RegionSet>,
) -> RegionSet {
    let all: RegionSet = fleet.regions.keys().collect();
    let by_service = match &fleet.services[service].allowed_regions {
        Some(regions) => regions.iter().copied().collect(),
        None => all,
    };
    let by_customer = customer
        .and_then(|key| fleet.customers[key].home_region)
        .map_or(all, RegionSet::single);
    by_service
        .intersect(by_customer)
        .intersect(sender.unwrap_or(all))
}
