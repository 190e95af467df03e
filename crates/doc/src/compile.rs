//! Compiles a document into the [`Fleet`] that request handling reads.

use std::sync::Arc;

use lw_base::prelude::*;

use crate::digest::Digest;
use crate::document::{CustomerEntry, Document, RegionEntry, ServiceEntry, TargetEntry};
use crate::fleet::{Customer, Fleet, Region, Service, Target, Zone};
use crate::stop_window::StopWindow;

/// The one-way delay between two regions, in milliseconds, when the document gives none; typical delays are some tens
/// of milliseconds.
pub const DEFAULT_REGION_DELAY_MS: f64 = 25.0;

/// Compiles a validated document.
///
/// Skips an entity that refers to an unknown name; a validated document has none.
#[must_use]
pub fn compile(document: &Document, revision: u64) -> Fleet {
    let mut fleet = Fleet {
        revision,
        weights: document.weights,
        ..Fleet::default()
    };
    add_regions(&mut fleet, document);
    add_services(&mut fleet, document);
    add_stops_of_zones_and_hosts(&mut fleet, document);
    add_targets(&mut fleet, document);
    add_customers(&mut fleet, document);
    fleet
}

fn add_regions(fleet: &mut Fleet, document: &Document) {
    for (name, entry) in &document.regions {
        let region = fleet.regions.push(name.as_str(), Region::default());
        for zone_name in &entry.zones {
            let zone = Zone {
                region,
                stops: Vec::new(),
            };
            let zone = fleet.zones.push(zone_name.as_str(), zone);
            fleet.regions[region].zones.push(zone);
        }
    }
    for (key, (from, entry)) in fleet.regions.keys().zip(&document.regions) {
        fleet.regions[key].delay_ms = delays_from(document, from, entry);
    }
}

fn delays_from(document: &Document, from: &str, entry: &RegionEntry) -> Vec<f64> {
    let delay_to = |(to, other): (&String, &RegionEntry)| {
        if to == from {
            return 0.0;
        }
        let configured = entry.delay_ms.get(to).or_else(|| other.delay_ms.get(from));
        configured.copied().unwrap_or(DEFAULT_REGION_DELAY_MS)
    };
    document.regions.iter().map(delay_to).collect()
}

fn add_services(fleet: &mut Fleet, document: &Document) {
    for (name, entry) in &document.services {
        let service = compile_service(fleet, entry);
        let key = fleet.services.push(name.as_str(), service);
        if let Some(model) = document.engine.models.get(name) {
            let version = Arc::from(model.version.as_str());
            fleet.model_versions.insert(key, version);
        }
    }
}

fn compile_service(fleet: &Fleet, entry: &ServiceEntry) -> Service {
    let keys = |names: &[String]| -> Vec<RegionKey> {
        let keys = names.iter().filter_map(|name| fleet.regions.key(name));
        keys.collect()
    };
    let allowed_regions = (!entry.allowed_regions.is_empty()).then(|| keys(&entry.allowed_regions));
    let methods = entry.non_idempotent_methods.iter();
    Service {
        kind: entry.kind,
        priority: entry.priority,
        regions: keys(&entry.regions),
        allowed_regions,
        deadline_ms: entry.deadline_ms,
        max_in_flight_per_target: entry.max_in_flight_per_target,
        queue_entries: entry.queue_entries,
        queue_bytes: entry.queue_bytes,
        non_idempotent_methods: methods
            .map(|method| Arc::from(method.to_ascii_uppercase()))
            .collect(),
        targets_by_region: vec![Vec::new(); fleet.regions.len()],
    }
}

fn add_stops_of_zones_and_hosts(fleet: &mut Fleet, document: &Document) {
    for entry in document.planned_stops.values() {
        let Some(window) = StopWindow::of(entry) else {
            continue;
        };
        for zone in &entry.zones {
            if let Some(key) = fleet.zones.key(zone) {
                fleet.zones[key].stops.push(window);
            }
        }
        for host in &entry.hosts {
            let windows = fleet.host_stops.entry(Arc::from(host.as_str()));
            windows.or_default().push(window);
        }
    }
}

fn add_targets(fleet: &mut Fleet, document: &Document) {
    for (name, entry) in &document.targets {
        let Some(target) = compile_target(fleet, entry) else {
            continue;
        };
        let (service, region) = (target.service, target.region);
        let key = fleet.targets.push(name.as_str(), target);
        fleet.services[service].targets_by_region[region.index()].push(key);
    }
    for entry in document.planned_stops.values() {
        let Some(window) = StopWindow::of(entry) else {
            continue;
        };
        for target in &entry.targets {
            if let Some(key) = fleet.targets.key(target) {
                fleet.targets[key].stops.push(window);
            }
        }
    }
}

pub(crate) fn compile_target(fleet: &Fleet, entry: &TargetEntry) -> Option<Target> {
    let zone = fleet.zones.key(&entry.zone)?;
    Some(Target {
        service: fleet.services.key(&entry.service)?,
        zone,
        region: fleet.zones[zone].region,
        address: Arc::from(entry.address.as_str()),
        fencing: entry.fencing,
        resume: entry.resume,
        slots: entry.slots,
        stops: fleet.zones[zone].stops.clone(),
    })
}

fn add_customers(fleet: &mut Fleet, document: &Document) {
    for (name, entry) in &document.customers {
        if let Some(customer) = compile_customer(fleet, entry) {
            fleet.customers.push(name.as_str(), customer);
        }
    }
}

/// Compiles a customer; returns `None` for an unknown home region, because a customer compiled without one could have
/// its requests processed in any region.
pub(crate) fn compile_customer(fleet: &Fleet, entry: &CustomerEntry) -> Option<Customer> {
    let home_region = match &entry.home_region {
        Some(region) => Some(fleet.regions.key(region)?),
        None => None,
    };
    Some(Customer {
        home_region,
        requests_per_s: entry.requests_per_s,
        key_digest: Digest::from_hex(&entry.key_digest).map(|digest| digest.0),
    })
}
