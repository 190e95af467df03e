//! Builds documents of a given size.

use lw_base::PriorityClass;
use lw_doc::{
    CustomerEntry, Document, EngineEntry, ModelEntry, RegionEntry, ServiceEntry, ServiceKind,
    TargetEntry,
};

use crate::slopes::target::{REGIONS, ZONES, region_name};

/// Percentage of customers with a home region, which equals the share of region-bound requests.
const BOUND_PERCENT: usize = 24;
const MODELS: [&str; 3] = ["grade-assistant", "stock-questions", "shift-digest"];

/// Builds a document with the given number of customers and targets, and all regions of the target size.
pub(crate) fn document(customers: usize, targets: usize) -> Document {
    let mut document = Document {
        format: 1,
        ..Document::default()
    };
    let zones: Vec<String> = (0..ZONES).map(|zone| format!("zone-{zone:03}")).collect();
    for region in 0..REGIONS {
        let own = zones.iter().skip(region).step_by(REGIONS);
        let entry = RegionEntry {
            zones: own.cloned().collect(),
            ..RegionEntry::default()
        };
        document.regions.insert(region_name(region), entry);
    }
    for model in MODELS {
        document.services.insert(model.to_owned(), service());
        let version = "3".to_owned();
        let entry = ModelEntry { version };
        document.engine.models.insert(model.to_owned(), entry);
    }
    for number in 0..targets {
        let entry = target(number, &zones[number % ZONES]);
        document
            .targets
            .insert(format!("worker-{number:05}"), entry);
    }
    for number in 0..customers {
        document
            .customers
            .insert(format!("customer-{number:05}"), customer(number));
    }
    document
}

/// Returns the entry of a customer, with a key digest.
pub(crate) fn customer(number: usize) -> CustomerEntry {
    CustomerEntry {
        home_region: (number % 100 < BOUND_PERCENT).then(|| region_name(number % REGIONS)),
        requests_per_s: Some(20.0),
        key_digest: format!("{number:064x}"),
    }
}

/// Returns a small document, so that a whole fleet fits into one process.
pub(crate) fn small_document() -> Document {
    let mut document = document(0, 0);
    document.services.clear();
    Document {
        engine: EngineEntry::default(),
        ..document
    }
}

fn service() -> ServiceEntry {
    ServiceEntry {
        kind: ServiceKind::Model,
        priority: PriorityClass::Interactive,
        regions: (0..REGIONS).map(region_name).collect(),
        allowed_regions: Vec::new(),
        deadline_ms: 30_000,
        max_in_flight_per_target: 16,
        queue_entries: 1_024,
        queue_bytes: 16 * 1024 * 1024,
        non_idempotent_methods: Vec::new(),
    }
}

fn target(number: usize, zone: &str) -> TargetEntry {
    TargetEntry {
        service: MODELS[number % MODELS.len()].to_owned(),
        zone: zone.to_owned(),
        address: format!("10.{}.{}.7:9000", number / 250, number % 250),
        fencing: true,
        resume: true,
        slots: 16,
    }
}
