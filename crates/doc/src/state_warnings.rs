//! Warnings about the content of a single document, independent of its changes.

use lw_base::prelude::*;

use crate::compile::compile;
use crate::document::Document;
use crate::fleet::{Fleet, Service};
use crate::stop_window::StopWindow;
use crate::warning::{Warning, WarningKind};

/// Returns the warnings about the content of a document.
pub(crate) fn state_warnings(document: &Document) -> Vec<Warning> {
    let fleet = compile(document, 0);
    let mut found = Vec::new();
    add_regions_without_targets(&mut found, &fleet);
    add_unsatisfied_residency(&mut found, &fleet);
    add_stops_of_last_targets(&mut found, document, &fleet);
    found
}

fn add_regions_without_targets(found: &mut Vec<Warning>, fleet: &Fleet) {
    for (_, name, service) in fleet.services.iter() {
        for region in &service.regions {
            if service.targets_by_region[region.index()].is_empty() {
                let region = fleet.regions.name(*region).to_string();
                found.push(Warning {
                    path: format!("services/{name}"),
                    kind: WarningKind::NoTargetInRegion { region },
                });
            }
        }
    }
}

fn add_unsatisfied_residency(found: &mut Vec<Warning>, fleet: &Fleet) {
    let mut is_home_region = vec![false; fleet.regions.len()];
    for (_, _, customer) in fleet.customers.iter() {
        if let Some(home) = customer.home_region {
            is_home_region[home.index()] = true;
        }
    }
    for (_, name, service) in fleet.services.iter() {
        for (region, region_name, _) in fleet.regions.iter() {
            if is_home_region[region.index()] && !can_serve(service, region) {
                let region = region_name.to_string();
                found.push(Warning {
                    path: format!("services/{name}"),
                    kind: WarningKind::ResidencyUnsatisfied { region },
                });
            }
        }
    }
}

fn can_serve(service: &Service, region: RegionKey) -> bool {
    let allowed = service.allowed_regions.as_ref();
    let allowed = allowed.is_none_or(|regions| regions.contains(&region));
    allowed && !service.targets_by_region[region.index()].is_empty()
}

/// Checks the targets only at the start of each planned stop, because the set of stopped targets grows only then.
fn add_stops_of_last_targets(found: &mut Vec<Warning>, document: &Document, fleet: &Fleet) {
    for (name, entry) in &document.planned_stops {
        let Some(window) = StopWindow::of(entry) else {
            continue;
        };
        let start = window.start_wall_ms;
        for (_, service_name, service) in fleet.services.iter() {
            let mut targets = service.targets_by_region.iter().flatten().peekable();
            let has_targets = targets.peek().is_some();
            if has_targets && targets.all(|key| fleet.targets[*key].is_in_planned_stop(start)) {
                let service = service_name.to_string();
                found.push(Warning {
                    path: format!("planned_stops/{name}"),
                    kind: WarningKind::StopOfLastTargets { service },
                });
            }
        }
    }
}
