//! Builds a fleet of the target size, seen from one region.

use lw_base::prelude::*;
use lw_doc::{Customer, Fleet, Region, Service, ServiceKind, Target, Weights, Zone};

/// Number of regions at the target size.
const REGIONS: usize = 45;

/// Builds a fleet with `targets` targets in the first region and one target in every other region.
pub(crate) fn fleet(targets: usize, customers: usize) -> Fleet {
    let mut fleet = Fleet {
        weights: Weights {
            cost: 0.6,
            latency: 0.2,
            cross_region: 0.2,
        },
        ..Fleet::default()
    };
    let mut targets_by_region = Vec::new();
    for index in 0..REGIONS {
        let region = Region {
            delay_ms: vec![25.0; REGIONS],
            ..Region::default()
        };
        let region = fleet.regions.push(format!("region-{index}"), region);
        let zone = Zone {
            region,
            stops: Vec::new(),
        };
        let zone = fleet.zones.push(format!("zone-{index}"), zone);
        let count = if index == 0 { targets } else { 1 };
        let keys = (0..count).map(|number| {
            let name = format!("worker-{index}-{number}");
            fleet.targets.push(name, target(region, zone))
        });
        targets_by_region.push(keys.collect());
    }
    for index in 0..customers {
        // 24% of the customers, and so of the requests, are bound to a home region.
        let home_region = (index % 100 < 24).then_some(RegionKey(0));
        let customer = Customer {
            home_region,
            requests_per_s: Some(20.0),
            key_digest: None,
        };
        fleet.customers.push(format!("customer-{index}"), customer);
    }
    let service = service(fleet.regions.keys().collect(), targets_by_region);
    fleet.services.push("model", service);
    fleet
}

fn target(region: RegionKey, zone: ZoneKey) -> Target {
    Target {
        service: ServiceKey(0),
        zone,
        region,
        address: "127.0.0.1:1".into(),
        fencing: true,
        resume: true,
        slots: 16,
        stops: Vec::new(),
    }
}

fn service(regions: Vec<RegionKey>, targets_by_region: Vec<Vec<TargetKey>>) -> Service {
    Service {
        kind: ServiceKind::Model,
        priority: PriorityClass::Interactive,
        regions,
        allowed_regions: None,
        deadline_ms: 30_000,
        max_in_flight_per_target: 16,
        queue_entries: 1_024,
        queue_bytes: 16 * 1024 * 1024,
        non_idempotent_methods: Vec::new(),
        targets_by_region,
    }
}
