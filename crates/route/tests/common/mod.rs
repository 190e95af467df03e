//! Fleets shared by the tests.
#![allow(dead_code, reason = "each test binary uses only a part of this module")]

use std::sync::Arc;

use lw_base::prelude::*;
use lw_doc::{Customer, Fleet, Region, Service, ServiceKind, StopWindow, Target, Weights, Zone};
use lw_route::{Now, RegionSet};

pub(crate) fn at(ms: u64) -> Now {
    Now {
        mono: MonoMs(ms),
        wall: WallMs(1_000_000 + ms),
    }
}

/// Builds a fleet with one service and the given number of targets per region.
pub(crate) fn fleet(targets: &[usize]) -> Fleet {
    let names: Vec<Vec<String>> = targets
        .iter()
        .enumerate()
        .map(|(region, count)| (0..*count).map(|n| format!("t-{region}-{n}")).collect())
        .collect();
    fleet_of(&names)
}

/// Builds a fleet with one service and the given target names per region; one-way delays are 25 ms.
pub(crate) fn fleet_of(names: &[Vec<String>]) -> Fleet {
    let mut fleet = Fleet {
        weights: Weights {
            cost: 0.6,
            latency: 0.2,
            cross_region: 0.2,
        },
        ..Fleet::default()
    };
    let mut targets_by_region = Vec::new();
    for (index, names) in names.iter().enumerate() {
        let region = fleet
            .regions
            .push(format!("region-{index}"), Region::default());
        let zone = fleet.zones.push(
            format!("zone-{index}"),
            Zone {
                region,
                stops: Vec::new(),
            },
        );
        let keys = names.iter().map(|name| {
            let target = Target {
                service: ServiceKey(0),
                zone,
                region,
                address: "127.0.0.1:1".into(),
                fencing: true,
                resume: true,
                slots: 4,
                stops: Vec::new(),
            };
            fleet.targets.push(name.as_str(), target)
        });
        targets_by_region.push(keys.collect());
    }
    let regions: Vec<RegionKey> = fleet.regions.keys().collect();
    for region in &regions {
        fleet.regions[*region].delay_ms = vec![25.0; regions.len()];
        fleet.regions[*region].delay_ms[region.index()] = 0.0;
    }
    fleet.services.push(
        "grade",
        Service {
            kind: ServiceKind::Model,
            priority: PriorityClass::Interactive,
            regions,
            allowed_regions: None,
            deadline_ms: 30_000,
            max_in_flight_per_target: 4,
            queue_entries: 100,
            queue_bytes: 100_000,
            non_idempotent_methods: Vec::new(),
            targets_by_region,
        },
    );
    fleet
}

pub(crate) fn customer(home_region: Option<u32>) -> Customer {
    Customer {
        home_region: home_region.map(RegionKey),
        requests_per_s: None,
        key_digest: None,
    }
}

pub(crate) fn stop_at(fleet: &mut Fleet, target: u32, start_ms: u64) {
    fleet.targets[TargetKey(target)].stops.push(StopWindow {
        start_wall_ms: at(start_ms).wall,
        end_wall_ms: None,
    });
}

pub(crate) fn all(fleet: &Arc<Fleet>) -> RegionSet {
    fleet.regions.keys().collect()
}
