//! The data residency rules of a request ([`Invariant::Residency`]).

use lw_base::prelude::*;
use lw_doc::Fleet;

use crate::region_set::RegionSet;

/// Returns the regions that may process a request.
///
/// The set is the intersection of the regions allowed for the service, the home region of the customer and, for a
/// forwarded request, the set that the sender computed from its revision. The stricter side therefore wins.
#[must_use]
pub fn allowed_regions(
    fleet: &Fleet,
    service: ServiceKey,
    customer: Option<CustomerKey>,
    sender: Option<RegionSet>,
) -> RegionSet {
    let all: RegionSet = fleet.regions.keys().collect();
    let service_regions = match &fleet.services[service].allowed_regions {
        Some(regions) => regions.iter().copied().collect(),
        None => all,
    };
    let customer_regions = customer
        .and_then(|key| fleet.customers[key].home_region)
        .map_or(all, RegionSet::single);
    service_regions
        .intersect(customer_regions)
        .intersect(sender.unwrap_or(all))
}
