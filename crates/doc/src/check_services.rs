//! Validates services and the models that engines should load.

use crate::checker::Checker;
use crate::document::ServiceEntry;
use crate::fault_kind::FaultKind;
use crate::service_kind::ServiceKind;

/// The maximum deadline. The drain limit of a daemon (660 s by default) must exceed it, so that a drain aborts no
/// in-flight request.
const MAX_DEADLINE_MS: f64 = 600_000.0;
const MAX_IN_FLIGHT_PER_TARGET: f64 = 100_000.0;
const MAX_QUEUE_ENTRIES: f64 = 1_000_000.0;
/// The minimum queue size in bytes: the maximum body size of the gateway, so that the queue can hold any request.
const MIN_QUEUE_BYTES: f64 = (4 * 1024 * 1024) as f64;
const MAX_QUEUE_BYTES: f64 = (1024 * 1024 * 1024) as f64;

pub(crate) fn check_services(checker: &mut Checker<'_>) {
    let document = checker.document;
    checker.check_names("services", &document.services, false);
    for (name, entry) in &document.services {
        let path = format!("services/{name}");
        check_regions(checker, &path, entry);
        check_numbers(checker, &path, entry);
        check_methods(checker, &path, entry);
    }
}

fn check_regions(checker: &mut Checker<'_>, path: &str, entry: &ServiceEntry) {
    let regions_path = format!("{path}/regions");
    if entry.regions.is_empty() {
        checker.fault(regions_path.as_str(), FaultKind::EmptyList);
    }
    checker.check_regions(&regions_path, &entry.regions);
    checker.check_regions(&format!("{path}/allowed_regions"), &entry.allowed_regions);
    if entry.allowed_regions.is_empty() {
        return;
    }
    for region in &entry.regions {
        if !entry.allowed_regions.contains(region) {
            let region = region.clone();
            checker.fault(
                regions_path.as_str(),
                FaultKind::RegionNotAllowed { region },
            );
        }
    }
}

fn check_numbers(checker: &mut Checker<'_>, path: &str, entry: &ServiceEntry) {
    let deadline_ms = entry.deadline_ms as f64;
    let in_flight = f64::from(entry.max_in_flight_per_target);
    let queue_entries = f64::from(entry.queue_entries);
    let queue_bytes = entry.queue_bytes as f64;
    let mut check = |field: &str, value: f64, min: f64, max: f64| {
        checker.check_range(&format!("{path}/{field}"), value, min, max);
    };
    check("deadline_ms", deadline_ms, 1.0, MAX_DEADLINE_MS);
    check(
        "max_in_flight_per_target",
        in_flight,
        1.0,
        MAX_IN_FLIGHT_PER_TARGET,
    );
    check("queue_entries", queue_entries, 1.0, MAX_QUEUE_ENTRIES);
    check("queue_bytes", queue_bytes, MIN_QUEUE_BYTES, MAX_QUEUE_BYTES);
}

fn check_methods(checker: &mut Checker<'_>, path: &str, entry: &ServiceEntry) {
    let path = format!("{path}/non_idempotent_methods");
    checker.check_duplicate_elements(&path, &entry.non_idempotent_methods);
    for method in &entry.non_idempotent_methods {
        let letters = method.bytes().all(|byte| byte.is_ascii_uppercase());
        if method.is_empty() || !letters {
            let method = method.clone();
            checker.fault(path.as_str(), FaultKind::InvalidMethod { method });
        }
    }
}

pub(crate) fn check_models(checker: &mut Checker<'_>) {
    let document = checker.document;
    for (name, model) in &document.engine.models {
        let path = format!("engine/models/{name}");
        checker.check_name(&format!("{path}/version"), &model.version, true);
        let service = name.clone();
        match document.services.get(name).map(|entry| entry.kind) {
            Some(ServiceKind::Model) => {}
            Some(ServiceKind::Plain) => {
                checker.fault(path, FaultKind::ModelOfPlainService { service });
            }
            None => checker.fault(path, FaultKind::UnknownService { name: service }),
        }
    }
}
